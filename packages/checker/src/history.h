/// \file
/// The time line, ordered by job, task and process.
#pragma once

#include "event_list.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswood::checker {

/// What the time line tells of one job.
struct job_history {
  event_list Events; ///< Those without a task.
  std::map<std::uint32_t, event_list> Tasks;

  /// \returns whether a task of the job started, as its companion or its
  /// endpoint tells.
  bool hasStarts() const;
  /// \returns the first event that tells of a start, or nullptr.
  const timeline_event *findStart() const;
};

/// Index over a time line, which must outlive it. One pass builds it.
class history {
public:
  explicit history(const std::vector<timeline_event> &Events);

  const std::map<job_id, job_history> &getJobs() const { return Jobs; }
  /// \returns the events that \p Process wrote, an empty list if none.
  const event_list &getEventsOf(const process_id &Process) const;
  const std::map<process_id, event_list> &getProcesses() const {
    return Processes;
  }
  /// \returns whether \p Process ended by a planned stop. Any other process
  /// counts as killed.
  bool isStopped(const process_id &Process) const {
    return getEventsOf(Process).has(event_kind::ProcessStopped);
  }
  const std::vector<timeline_event> &getEvents() const { return Events; }

private:
  const std::vector<timeline_event> &Events;
  std::map<job_id, job_history> Jobs;
  std::map<process_id, event_list> Processes;
};

} // namespace crocuswood::checker
