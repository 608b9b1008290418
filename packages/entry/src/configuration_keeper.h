/// \file
/// The configuration in force, and who has which revision.
#pragma once

#include "entry_state.h"

#include <vector>

namespace crocuswood::entry {

/// Moves to greater revisions only, and brings peers with smaller revisions up
/// to date.
class configuration_keeper {
public:
  explicit configuration_keeper(entry_state &State)
      : State(State), Generator(State.Options.Seed) {}

  /// Takes a configuration from the table service or from a peer. \returns
  /// whether it is in force now, which companions should be told at once.
  bool offer(const configuration &Offered);
  /// Notes the revision that a companion has told.
  void noteRevision(companion_index Companion, std::uint64_t Revision);
  /// Updates \p Companion if its revision has been smaller for a while.
  void checkRevision(companion_index Companion);
  /// Takes the list of entries, and tells companions if it has changed.
  void takeEntries(std::vector<peer_address> Entries);
  /// \returns a number that changes when the list of entries changes.
  std::uint64_t getEntriesDigest() const { return EntriesDigest; }

private:
  entry_state &State;
  generator Generator;
  std::uint64_t EntriesDigest = 0;
};

} // namespace crocuswood::entry
