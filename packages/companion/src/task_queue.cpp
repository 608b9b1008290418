#include "task_queue.h"

#include <algorithm>

namespace crocuswood::companion {

namespace {

duration workOf(const queued_task &Task) {
  return Task.Placement.ExpectedRunTime * static_cast<std::int64_t>(Task.Room) /
         SlotRoom;
}

} // namespace

void task_queue::add(queued_task Task) {
  const task_id Id = Task.Placement.Task;
  const position Position{Task.Placement.Priority, Task.StartBy, NextNumber++};
  queued_work &Same = Work[Task.Placement.Priority];
  Same.Priority = Task.Placement.Priority;
  Same.RunTime += workOf(Task);
  Same.Room += Task.Room;
  Room += Task.Room;
  if (Task.Deadline) {
    Deadlines.emplace(*Task.Deadline, Id);
  }
  Positions.emplace(Id, Position);
  Order.emplace(Position, std::move(Task));
}

std::optional<queued_task> task_queue::remove(const task_id &Task) {
  const auto Position = Positions.find(Task);
  if (Position == Positions.end()) {
    return std::nullopt;
  }
  const auto Place = Order.find(Position->second);
  queued_task Removed = std::move(Place->second);
  const auto Same = Work.find(Removed.Placement.Priority);
  Same->second.RunTime -= workOf(Removed);
  Same->second.Room -= Removed.Room;
  if (Same->second.Room == 0) {
    Work.erase(Same);
  }
  Room -= Removed.Room;
  if (Removed.Deadline) {
    Deadlines.erase({*Removed.Deadline, Removed.Placement.Task});
  }
  Order.erase(Place);
  Positions.erase(Position);
  return Removed;
}

std::vector<queued_work> task_queue::getWork() const {
  std::vector<queued_work> Listed;
  Listed.reserve(Work.size());
  for (const auto &[Priority, Same] : Work) {
    Listed.push_back(Same);
  }
  return Listed;
}

const queued_task *
task_queue::getFirst(const std::function<bool(incarnation)> &MayStart) const {
  for (const auto &[Position, Task] : Order) {
    if (MayStart(Task.Placement.Task.Job.Entry)) {
      return &Task;
    }
  }
  return nullptr;
}

std::optional<instant> task_queue::findOldest(incarnation Entry) const {
  std::optional<instant> Oldest;
  for (const auto &[Position, Task] : Order) {
    if (Task.Placement.Task.Job.Entry == Entry) {
      Oldest = std::min(Oldest.value_or(Task.QueuedAt), Task.QueuedAt);
    }
  }
  return Oldest;
}

std::vector<task_id> task_queue::listOlder(incarnation Entry,
                                           instant QueuedAt) const {
  std::vector<task_id> Tasks;
  for (const auto &[Position, Task] : Order) {
    if (Task.Placement.Task.Job.Entry == Entry && Task.QueuedAt <= QueuedAt) {
      Tasks.push_back(Task.Placement.Task);
    }
  }
  return Tasks;
}

std::optional<task_id> task_queue::findExpired(instant Now) const {
  if (Deadlines.empty() || Deadlines.begin()->first > Now) {
    return std::nullopt;
  }
  return Deadlines.begin()->second;
}

std::optional<instant> task_queue::getNextDeadline() const {
  if (Deadlines.empty()) {
    return std::nullopt;
  }
  return Deadlines.begin()->first;
}

std::vector<task_id> task_queue::listTasks() const {
  return listTasks([](const queued_task & /*Task*/) { return true; });
}

std::vector<task_id> task_queue::listTasks(incarnation Entry) const {
  return listTasks([Entry](const queued_task &Task) {
    return Task.Placement.Task.Job.Entry == Entry;
  });
}

std::vector<task_id> task_queue::listTasks(
    const std::function<bool(const queued_task &)> &IsMeant) const {
  std::vector<task_id> Tasks;
  for (const auto &[Position, Task] : Order) {
    if (IsMeant(Task)) {
      Tasks.push_back(Task.Placement.Task);
    }
  }
  return Tasks;
}

} // namespace crocuswood::companion
