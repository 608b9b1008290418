#include "outbox.h"

#include <algorithm>
#include <utility>

namespace crocuswood::entry {

void outbox::addPlacement(pending_placement Placement) {
  Placements.push_back(std::move(Placement));
}

void outbox::removePlacement(const task_ref &Task) {
  const auto IsTask = [&Task](const pending_placement &Each) {
    return Each.Task.Job == Task.Job && Each.Task.Index == Task.Index;
  };
  std::erase_if(Placements, IsTask);
}

std::vector<pending_placement> outbox::takePlacements() {
  return std::exchange(Placements, {});
}

bool outbox::isDue() const {
  return !Messages.empty() || !Placements.empty() || !Withdrawals.empty();
}

std::vector<peer_message> outbox::take(std::uint32_t Backlog) {
  std::vector<peer_message> Taken;
  Taken.reserve(Messages.size() + Placements.size() + 2);
  std::move(Messages.begin(), Messages.end(), std::back_inserter(Taken));
  if (!Acknowledgements.empty()) {
    Taken.emplace_back(
        acknowledge_ends{.Tasks = std::exchange(Acknowledgements, {})});
  }
  for (pending_placement &Placement : Placements) {
    Placement.Message.Backlog = Backlog;
    Taken.emplace_back(std::move(Placement.Message));
  }
  if (!Withdrawals.empty()) {
    Taken.emplace_back(withdraw_tasks{.Tasks = std::exchange(Withdrawals, {})});
  }
  Messages.clear();
  Placements.clear();
  return Taken;
}

void outbox::clear() {
  Messages.clear();
  Placements.clear();
  Withdrawals.clear();
  Acknowledgements.clear();
}

} // namespace crocuswood::entry
