/// \file
/// Links to companions: hello, heartbeats, silence, resume and loss.
#pragma once

#include "configuration_keeper.h"
#include "entry_state.h"
#include "health.h"
#include "task_ends.h"

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswood::entry {

/// Follows every link from its opening to its end. Tasks stay outstanding on a
/// companion without a link until it resumes, is replaced, or is lost.
///
/// A hello can arrive long after its process has died, so it does not prove
/// that its sender is the living incarnation. One that is known by its name
/// only replaces the known incarnation once it has answered a resume request
/// on its link. A companion dials after its endpoint has settled, so that the
/// answer also proves that no run of the earlier incarnation goes on.
class link_manager {
public:
  link_manager(entry_state &State, task_ends &Ends,
               configuration_keeper &Configurations, health &Health);

  void open(link_id Link);
  void receive(link_id Link, std::vector<peer_message> Messages);
  void close(link_id Link, const std::string &Reason);
  /// Sends heartbeats, closes silent links and gives up lost companions.
  void checkTimes();
  /// Tells every companion at once that this entry is stopping, or which
  /// configuration it has now.
  void announce();
  /// Answers the requests for leases that waited for a check of the callers.
  void grantLeases();
  /// Takes the evacuated zones that \p Source has told, and tells every
  /// companion after a change. \returns whether they are outdated.
  bool takeEvacuation(evacuation::state Told, const std::string &Source);
  /// Writes what was gathered for the companions.
  void flush();

private:
  /// A link that is not that of a known companion yet.
  struct pending_link {
    instant OpenedAt;
    std::optional<companion_hello> Hello; ///< Its sender has been asked.
    std::vector<peer_message> Held;       ///< What followed the hello.
  };

  void receiveFirst(link_id Link, std::vector<peer_message> &Messages);
  void receiveClaim(link_id Link, std::vector<peer_message> &Messages);
  bool mustProve(const companion_hello &Hello) const;
  void ask(link_id Link, const companion_hello &Hello);
  void closeClaims(link_id Link, const process_id &Companion);
  entry_hello makeHello() const;
  void takeHello(link_id Link, const companion_hello &Hello);
  companion_index enrol(link_id Link, const companion_hello &Hello);
  void replace(companion_index Companion, const process_id &Next);
  void greet(companion_index Companion);
  void sendEvacuation(companion_index Companion);
  void receiveEvacuation(companion_index Companion,
                         const evacuation_update &Update);
  std::string describeEvacuation(const std::string &Source) const;
  void resume(companion_index Companion);
  void dispatch(companion_index Companion, peer_message &Message);
  /// Records that the companion's endpoint is slow after a start that was just
  /// reported.
  void recordCold(companion_index Companion);
  void takeLoad(companion_index Companion, const companion_load &Load);
  void refuseLink(link_id Link, const std::string &Reason);
  void dropLink(companion_index Companion, const std::string &Reason);
  void closePendingLinks();
  void checkCompanion(companion_index Companion);
  void sendHeartbeat(companion_index Companion);
  void write(companion_index Companion);
  void recordPlacements(companion_index Companion);

  entry_state &State;
  task_ends &Ends;
  configuration_keeper &Configurations;
  health &Health;
  link_intervals Intervals;
  std::unordered_map<std::uint64_t, pending_link> Pending;
};

} // namespace crocuswood::entry
