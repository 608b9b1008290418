/// \file
/// Tasks that wait for a slot.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswood::companion {

/// A placed task that has not started.
struct queued_task {
  place_task Placement;
  instant StartBy; ///< When it must start to meet its target.
  std::optional<instant> Deadline;
  std::uint32_t Room = SlotRoom; ///< That it will take.
  instant QueuedAt;
};

/// Waiting tasks, by priority and then the least slack first.
class task_queue {
public:
  void add(queued_task Task);
  /// \returns nothing if \p Task is not queued.
  std::optional<queued_task> remove(const task_id &Task);
  bool contains(const task_id &Task) const { return Positions.contains(Task); }
  /// \returns the first task whose entry \p MayStart, or null.
  const queued_task *
  getFirst(const std::function<bool(incarnation)> &MayStart) const;
  /// \returns a task whose deadline is not after \p Now.
  std::optional<task_id> findExpired(instant Now) const;
  std::optional<instant> getNextDeadline() const;
  /// \returns all tasks in the order of their slack.
  std::vector<task_id> listTasks() const;
  /// \returns the tasks of one entry in the order of their slack.
  std::vector<task_id> listTasks(incarnation Entry) const;
  /// \returns the tasks for which \p IsMeant holds in the order of their slack.
  std::vector<task_id>
  listTasks(const std::function<bool(const queued_task &)> &IsMeant) const;
  /// \returns when the longest waiting task of \p Entry was queued.
  std::optional<instant> findOldest(incarnation Entry) const;
  /// \returns the tasks of one entry that were queued at \p QueuedAt or before.
  std::vector<task_id> listOlder(incarnation Entry, instant QueuedAt) const;
  std::uint32_t getSize() const {
    return static_cast<std::uint32_t>(Order.size());
  }
  /// \returns the expected run time and the room of the tasks of each priority.
  std::vector<queued_work> getWork() const;
  /// \returns the room that all tasks together will take.
  std::uint32_t getRoom() const { return Room; }

private:
  using position = std::tuple<std::uint32_t, instant, std::uint64_t>;

  std::map<position, queued_task> Order;
  std::unordered_map<task_id, position> Positions;
  std::set<std::pair<instant, task_id>> Deadlines;
  std::uint64_t NextNumber = 0;
  std::map<std::uint32_t, queued_work> Work; ///< By priority.
  std::uint32_t Room = 0;
};

} // namespace crocuswood::companion
