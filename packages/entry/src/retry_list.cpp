#include "retry_list.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

constexpr double RetriesPerPlacement = 0.1;
constexpr double RetriesPerSecond = 20;
constexpr double MicrosecondsPerSecond = 1e6;

} // namespace

task_id retry_list::take() {
  const task_id Taken = Tasks.front();
  Tasks.pop_front();
  return Taken;
}

void retry_list::notePlacement() {
  Budget = std::min(MaxBudget, Budget + RetriesPerPlacement);
}

void retry_list::noteTime(instant Now) {
  const auto Elapsed = static_cast<double>((Now - Earned).count());
  Earned = Now;
  Budget = std::min(MaxBudget, Budget + Elapsed * RetriesPerSecond /
                                            MicrosecondsPerSecond);
}

} // namespace crocuswood::entry
