#include "task_history.h"

#include <algorithm>

namespace crocuswood::companion {

task_memory task_history::find(const task_id &Task) const {
  if (Task.Job.Sequence < FirstSequence) {
    return task_memory::Forgotten;
  }
  const auto Job = Jobs.find(Task.Job.Sequence);
  if (Job == Jobs.end()) {
    return task_memory::New;
  }
  const auto Place = std::ranges::lower_bound(
      Job->second, Task.Index, std::ranges::less(), &remembered_task::Index);
  if (Place == Job->second.end() || Place->Index != Task.Index) {
    return task_memory::New;
  }
  return Place->Memory;
}

void task_history::remember(const task_id &Task, task_memory Memory) {
  if (Task.Job.Sequence < FirstSequence) {
    return;
  }
  job_tasks &Tasks = Jobs[Task.Job.Sequence];
  const auto Place = std::ranges::lower_bound(
      Tasks, Task.Index, std::ranges::less(), &remembered_task::Index);
  if (Place != Tasks.end() && Place->Index == Task.Index) {
    Place->Memory = Memory;
    return;
  }
  Tasks.insert(Place, remembered_task{.Index = Task.Index, .Memory = Memory});
  ++Size;
  forgetOldest();
}

void task_history::forgetOldest() {
  while (Size > MaxTasks && Jobs.size() > 1) {
    const auto Oldest = Jobs.begin();
    FirstSequence = Oldest->first + 1;
    Size -= Oldest->second.size();
    Jobs.erase(Oldest);
  }
}

} // namespace crocuswood::companion
