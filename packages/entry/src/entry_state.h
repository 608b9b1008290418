/// \file
/// What the parts of the decision core share.
#pragma once

#include "action_sink.h"
#include "class_table.h"
#include "companion_table.h"
#include "crash_memory.h"
#include "generator.h"
#include "interference_watch.h"
#include "job_table.h"
#include "overload_guard.h"
#include "retry_list.h"
#include "team_table.h"
#include "waiting_queue.h"

#include <crocuswood/entry.h>

#include <vector>

namespace crocuswood::entry {

/// Counts of messages, heartbeats apart.
struct message_counts {
  std::uint64_t Sent = 0;
  std::uint64_t Received = 0;
  std::uint64_t Heartbeats = 0;
  std::uint64_t Wasted = 0;
};

/// A job whose next task no companion could run even alone.
struct oversized_job {
  job_id Id;
  instant Since;
};

/// The tables of one entry. The parts that decide work on them.
struct entry_state {
  explicit entry_state(options Given);

  options Options;
  action_sink Sink;
  class_table Classes;
  team_table Teams;
  job_table Jobs;
  waiting_queue Queue;
  retry_list Retries;
  std::vector<oversized_job> Oversized; ///< Taken out of the queue.
  evacuation::state Evacuation;         ///< Before the table that refers to it.
  companion_table Companions;
  interference_watch Interference;
  crash_memory Crashes;
  configuration Configuration;
  std::vector<peer_address> Entries;
  message_counts Messages;
  overload_guard Overload;
  /// Classes that loops over classes went through. It grows with the classes
  /// in use, not with those that are configured.
  std::uint64_t ClassVisits = 0;
  std::uint32_t UnfinishedTasks = 0; ///< Of all jobs: waiting or placed.
  std::uint32_t CallerChecks = 0;    ///< Asked for and not answered.
  bool Draining = false; ///< A stop was requested; jobs are still taken.
  bool Stopping = false; ///< No job is taken any more.

  /// After a pause: waiting jobs may have no caller any more. Nothing is placed
  /// or vouched for.
  bool awaitsCallers() const { return CallerChecks > 0; }
  instant now() const { return Sink.now(); }
  const std::string &companionName(companion_index Index) const {
    return Companions[Index].Id.Name;
  }
};

} // namespace crocuswood::entry
