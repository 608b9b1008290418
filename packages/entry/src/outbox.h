/// \file
/// Messages gathered for one companion until the next flush.
#pragma once

#include "job.h"

#include <cstdint>
#include <vector>

namespace crocuswood::entry {

/// A placement that has not been written to a link yet.
struct pending_placement {
  task_ref Task;
  place_task Message;
};

/// Gathers messages, placements, withdrawals and acknowledgements.
class outbox {
public:
  void add(peer_message Message) { Messages.push_back(std::move(Message)); }
  void addPlacement(pending_placement Placement);
  void addWithdrawal(const task_id &Task) { Withdrawals.push_back(Task); }
  void addAcknowledgement(const task_id &Task) {
    Acknowledgements.push_back(Task);
  }

  /// Takes out the placement of \p Task, which has not been written.
  void removePlacement(const task_ref &Task);
  /// Takes out all placements, which have not been written.
  std::vector<pending_placement> takePlacements();

  /// \returns whether an envelope has to be sent. Acknowledgements alone wait
  /// for one.
  bool isDue() const;
  bool hasAcknowledgements() const { return !Acknowledgements.empty(); }
  const std::vector<pending_placement> &getPlacements() const {
    return Placements;
  }
  /// Takes everything out, in the order in which it has to be written.
  /// Placements tell \p Backlog.
  std::vector<peer_message> take(std::uint32_t Backlog);
  /// Forgets everything, after the link is gone.
  void clear();

private:
  std::vector<peer_message> Messages;
  std::vector<pending_placement> Placements;
  std::vector<task_id> Withdrawals;
  std::vector<task_id> Acknowledgements;
};

} // namespace crocuswood::entry
