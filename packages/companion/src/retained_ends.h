/// \file
/// Ends of tasks that the entry has not acknowledged.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

namespace crocuswood::companion {

/// \returns the memory that an end takes, roughly.
std::uint64_t countBytes(const task_end &End);

/// Unacknowledged ends in the order in which they happened.
class retained_ends {
public:
  void add(const task_id &Task, task_end End);
  /// \returns false if no end of \p Task is kept.
  bool remove(const task_id &Task);
  /// \returns null if no end of \p Task is kept.
  const task_end *find(const task_id &Task) const;
  std::vector<task_id> listTasks() const;
  std::size_t getSize() const { return Ends.size(); }
  std::uint64_t getBytes() const { return Bytes; }

private:
  struct retained_end {
    task_id Task;
    task_end End;
  };

  std::map<std::uint64_t, retained_end> Ends;
  std::unordered_map<task_id, std::uint64_t> Numbers;
  std::uint64_t NextNumber = 0;
  std::uint64_t Bytes = 0;
};

} // namespace crocuswood::companion
