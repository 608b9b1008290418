/// \file
/// Keeps an entry core busy and measures what that costs.
#pragma once

#include <crocuswood/entry.h>

#include <cstdint>
#include <deque>
#include <vector>

namespace crocuswood::entry {

/// Shape of one measurement.
struct load_shape {
  std::uint32_t Companions = 10;
  std::uint32_t TasksPerJob = 1;
  std::uint32_t SlotsPerCompanion = 8;
  /// Classes of the same pool beside that of the jobs, numbered before it.
  std::uint32_t IdleClasses = 0;
};

/// Plays callers and companions against a core in virtual time. Every
/// companion ends its tasks one by one, in the order of their placement.
class entry_load {
public:
  explicit entry_load(load_shape Shape);

  /// Brings up \p Count further companions.
  void connect(std::uint32_t Count);
  void submitJob();
  /// Ends \p Count tasks and keeps the slots filled. \returns the time spent
  /// inside the core, in nanoseconds.
  std::uint64_t run(std::uint64_t Count);

  /// Lets \p Count timed checks become due. \returns the time spent inside the
  /// core, in nanoseconds.
  std::uint64_t check(std::uint64_t Count);

  std::uint64_t getAnswers() const { return Answers; }

private:
  void handle(event Event);
  void flush();
  void endOldestTask();
  void takeActions();

  load_shape Shape;
  core Core;
  instant Now{std::chrono::seconds(1)};
  std::vector<action> Actions;
  std::deque<std::pair<link_id, task_id>> Running;
  std::vector<companion_load> Loads;
  job_request Request;
  std::uint64_t LastRequest = 0;
  std::uint64_t Submitted = 0;
  std::uint64_t Ended = 0;
  std::uint64_t Answers = 0;
  std::uint64_t Nanoseconds = 0;
};

} // namespace crocuswood::entry
