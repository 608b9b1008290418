/// \file
/// Tasks that wait at the entry, ordered by the time left to their target.
#pragma once

#include "job.h"

#include <cstdint>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace crocuswood::entry {

/// The most urgent job of a class.
struct waiting_front {
  job *Job = nullptr;
  instant Due; ///< Latest start of a task that meets the target.
};

/// Keeps the jobs that have tasks which were never placed.
///
/// A job enters a share of its tasks at a time. The next share counts as if it
/// had arrived when the share before it was placed, so a job of many tasks
/// takes turns with the jobs that arrive after it.
class waiting_queue {
public:
  /// Tasks that a job enters at a time.
  static constexpr std::uint32_t ShareTasks = 8;

  /// Adds the tasks of \p Job that were never placed. \p ExpectedRunTime is
  /// that of one task.
  void add(job &Job, duration ExpectedRunTime);
  /// Takes out all tasks of \p Job that were never placed.
  void remove(job &Job);
  /// Takes out the next task of \p Job. \returns its index.
  std::uint32_t take(job &Job, instant Now);
  /// Puts \p Job aside although it has tasks left; add() brings it back.
  void park(job &Job);

  /// Lets a job that can no longer meet its target wait behind those that can.
  void makeLate(job &Job);
  /// Lets a job that was admitted late go before those on time.
  void makeUrgent(job &Job);

  /// \returns the most urgent job of \p Class that can meet its target.
  /// \p Target is the span from arrival that the class is given.
  std::optional<waiting_front> getFront(class_index Class,
                                        duration Target) const;
  /// \returns the oldest job of \p Class among those admitted late.
  job *getLateFront(class_index Class) const;
  /// \returns any queued job of \p Class, or null.
  job *getAny(class_index Class) const;

  /// \returns tasks in the queue.
  std::uint32_t getCount() const { return Count; }
  std::uint32_t getCount(class_index Class) const;
  /// \returns the expected run time of the tasks of \p Class whose share has
  /// been let in, without those admitted late. A new job waits for these.
  duration getWork(class_index Class) const;
  duration getLateWork() const { return LateWork; }
  /// \returns the expected run time of all tasks of \p Class that were taken so
  /// far, without late ones.
  duration getTaken(class_index Class) const;
  duration getLateTaken() const { return LateTaken; }
  /// \returns the classes of the jobs in the queue.
  const std::set<class_index> &getOccupied() const { return Occupied; }

private:
  struct key {
    instant Start; ///< Arrival less the run time.
    std::uint64_t Sequence = 0;
    job *Job = nullptr;

    friend bool operator<(const key &Left, const key &Right) {
      return std::tie(Left.Start, Left.Sequence) <
             std::tie(Right.Start, Right.Sequence);
    }
  };
  struct lane {
    std::set<key> OnTime;
    std::set<key> Late;
    std::uint32_t Count = 0;
    duration Work{};
    duration Taken{};
  };

  static key keyOf(job &Job);
  lane &laneOf(const job &Job);
  void insert(job &Job);
  void erase(job &Job);
  /// Adds the tasks of \p Job to the sums, or takes them out if \p Sign is -1.
  void account(const job &Job, std::int32_t Sign);

  std::vector<lane> Lanes;
  std::set<class_index> Occupied;
  std::uint32_t Count = 0;
  duration LateWork{};
  duration LateTaken{};
};

} // namespace crocuswood::entry
