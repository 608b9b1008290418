/// \file
/// Addresses of entries and the links to them.
#pragma once

#include "spread_generator.h"
#include "step.h"

#include <crocuswood/companion.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::companion {

/// A link that was dialled.
struct link_state {
  link_id Id{};
  peer_address Address;
  bool Opened = false;
  std::optional<incarnation> Entry; ///< Known from its hello on.
  instant LastHeard;                ///< The time of the dial at first.
  instant LastSent;
  link_activity Activity;
  std::vector<peer_message> Unsent;
};

/// Dials entries, notices silent links and keeps the messages not sent yet.
class entry_links {
public:
  explicit entry_links(const options &Options);

  /// Replaces the addresses read from the table service. An empty list keeps
  /// the old ones.
  void setListed(const std::vector<peer_address> &Addresses);
  /// Adds addresses that an entry told.
  void addKnown(const std::vector<peer_address> &Addresses);
  /// \returns whether a dial to \p Address is due only to the settings.
  bool isBootstrapOnly(const peer_address &Address) const;
  /// Holds back dials to \p Address while \p Entry is linked.
  void noteAlias(const peer_address &Address, incarnation Entry);

  /// Lets dials go out that the options hold back at first.
  void startDialling() { Dials = true; }
  /// Dials every address without a link whose time has come.
  void dialDue(const step &Step);
  /// \returns null if \p Link is not open or being dialled.
  link_state *find(link_id Link);
  /// Closes \p Link from this side. Its address is dialled after \p Pause.
  void close(const step &Step, link_id Link, const std::string &Reason,
             duration Pause);
  /// Forgets a link that the adapter reported closed.
  void forget(instant Now, link_id Link);
  /// \returns the pause before a dial after a failure.
  duration drawPause() { return Generator.spread(Options.RedialInterval); }
  /// \returns links not heard of for longer than the limit.
  std::vector<link_id> listSilent(instant Now) const;
  /// \returns links on which a heartbeat is due.
  std::vector<link_id> listIdle(instant Now) const;
  std::optional<instant> getNextWake() const;
  std::uint32_t countLinked() const;
  /// Sends \p Message over all open links.
  void broadcast(const peer_message &Message);
  std::map<link_id, link_state> &getLinks() { return Links; }

private:
  struct address_state {
    bool Bootstrap = false;
    bool Listed = false; ///< Read from the table service.
    bool Known = false;  ///< Told by an entry, or listed.
    std::optional<link_id> Link;
    std::optional<incarnation> Alias; ///< Reached by another address.
    instant NextDial;
    std::uint32_t Failures = 0; ///< Dials in a row without a hello.
  };

  bool isWanted(const address_state &State) const;
  bool isLinked(incarnation Entry) const;
  void release(instant Now, const link_state &Link, duration Pause);

  instant getDeadline(const link_state &Link) const;

  const options &Options;
  link_intervals Intervals;
  bool Dials;
  spread_generator Generator;
  std::map<peer_address, address_state> Addresses;
  std::map<link_id, link_state> Links;
  std::uint64_t NextLink = 1;
};

} // namespace crocuswood::companion
