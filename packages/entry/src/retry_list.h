/// \file
/// Tasks that companions gave back, and the budget to place them again.
#pragma once

#include "job.h"

#include <algorithm>
#include <cstdint>
#include <deque>

namespace crocuswood::entry {

/// Keeps tasks that were proved not started until they are placed again. The
/// budget grows with first placements, so that retries stay a small share of
/// all placements however many tasks are given back.
class retry_list {
public:
  void add(const task_id &Task) { Tasks.push_back(Task); }
  /// Takes out the oldest task.
  task_id take();
  const std::deque<task_id> &getTasks() const { return Tasks; }
  bool isEmpty() const { return Tasks.empty(); }
  std::size_t getCount() const { return Tasks.size(); }

  /// Earns a part of a retry.
  void notePlacement();
  /// Earns a whole retry.
  void allowOne() { Budget = std::min(MaxBudget, Budget + 1); }
  /// Earns what time alone gives.
  void noteTime(instant Now);
  bool hasBudget() const { return Budget >= 1; }
  void spend() { Budget -= 1; }

private:
  static constexpr double MaxBudget = 256;

  std::deque<task_id> Tasks;
  double Budget = MaxBudget;
  instant Earned;
};

} // namespace crocuswood::entry
