/// \file
/// Leases that entries grant for their tasks.
#pragma once

#include "entry_links.h"
#include "entry_registry.h"
#include "step.h"
#include "task_desk.h"

#include <crocuswood/companion.h>

#include <functional>
#include <optional>

namespace crocuswood::companion {

/// Ends the tasks of entries that no longer vouch for them. Does nothing
/// without options::EntryLease.
class entry_leases {
public:
  entry_leases(const options &Options, entry_registry &Entries,
               entry_links &Links, task_desk &Desk)
      : Options(Options), Entries(Entries), Links(Links), Desk(Desk) {}

  /// Counts only for a stamp that this process can have sent.
  void grant(const step &Step, entry_peer &Peer,
             const lease_grant &Grant) const;
  /// Ends what has lost its lease, and asks for leases that tasks wait for.
  /// \p MakeHeartbeat is called for each entry that is asked.
  void check(const step &Step,
             const std::function<companion_heartbeat()> &MakeHeartbeat);
  /// \returns when check() is due next.
  std::optional<instant> findNextWake(instant Now) const;

private:
  bool hasLeases() const { return Options.EntryLease > duration::zero(); }
  void ask(const step &Step, entry_peer &Peer,
           const std::function<companion_heartbeat()> &MakeHeartbeat);

  const options &Options;
  entry_registry &Entries;
  entry_links &Links;
  task_desk &Desk;
};

} // namespace crocuswood::companion
