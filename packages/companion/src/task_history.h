/// \file
/// Duplicate detection in bounded memory.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace crocuswood::companion {

/// What is remembered of a task.
enum class task_memory : std::uint8_t {
  New,       ///< Never received, or given back as its entry knows.
  Received,  ///< Queued, running or ended here.
  GivenBack, ///< Reported as not started; must not start meanwhile.
  Forgotten, ///< Older than the window; whether it ran is not known any more.
};

/// Remembers the latest tasks of one incarnation of an entry. The answers are
/// exact within the window; anything older is reported as forgotten.
class task_history {
public:
  /// \p MaxTasks is the least number of tasks in the window.
  explicit task_history(std::size_t MaxTasks) : MaxTasks(MaxTasks) {}

  task_memory find(const task_id &Task) const;
  /// Notes a task that was New, or changes what is remembered of it.
  void remember(const task_id &Task, task_memory Memory);
  std::size_t getSize() const { return Size; }

private:
  struct remembered_task {
    std::uint32_t Index = 0;
    task_memory Memory = task_memory::Received;
  };
  using job_tasks = std::vector<remembered_task>;

  void forgetOldest();

  std::size_t MaxTasks;
  std::size_t Size = 0;
  std::uint64_t FirstSequence = 0;         ///< Jobs before it are forgotten.
  std::map<std::uint64_t, job_tasks> Jobs; ///< Tasks ordered by index.
};

} // namespace crocuswood::companion
