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
  explicit configuration_keeper(entry_state &State) : State(State) {}

  /// Takes a configuration from the table service or from a peer.
  void offer(const configuration &Offered);
  /// Notes the revision that a companion has told, and updates the companion
  /// if its revision is smaller.
  void noteRevision(companion_index Companion, std::uint64_t Revision);
  /// Takes the list of entries, and tells companions if it has changed.
  void takeEntries(std::vector<peer_address> Entries);
  /// \returns a number that changes when the list of entries changes.
  std::uint64_t getEntriesDigest() const { return EntriesDigest; }

private:
  void push(companion_index Companion);

  entry_state &State;
  std::uint64_t EntriesDigest = 0;
};

} // namespace crocuswood::entry
