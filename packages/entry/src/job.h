/// \file
/// A job and its tasks as the entry keeps them until the last task has ended.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::entry {

/// Position of a companion in the companion table.
using companion_index = std::uint32_t;
/// Position of a class in the class table.
using class_index = std::uint32_t;
/// Position of a team in the team table.
using team_index = std::uint32_t;

constexpr companion_index NoCompanion =
    std::numeric_limits<companion_index>::max();

/// Where a task stands.
enum class task_state : std::uint8_t {
  Waiting,    ///< At the entry; not written to any link.
  Placed,     ///< On a companion, or on the way to it.
  Completed,  ///< Its output has been taken.
  NotStarted, ///< Certainly never started and never will.
  MayHaveRun, ///< Failed, lost, or its end will never be known.
};

/// One task of a job.
struct task {
  payload Bytes; ///< The input, and after completion the output.
  std::optional<duration> DeclaredRunTime;
  task_needs Needs; ///< With the class's needs filled in.
  instant PlacedAt;
  companion_index Companion = NoCompanion; ///< While Placed.
  std::uint32_t Position = 0; ///< While Placed: in the companion's list.
  std::uint32_t Room = 0;     ///< While Placed: that it takes there.
  task_state State = task_state::Waiting;
  bool Written = false;   ///< While Placed: the placement has been flushed.
  bool Withdrawn = false; ///< While Placed: asked back.
  bool Suspect = false;   ///< While Placed: an endpoint has crashed under it.
  bool Fell = false;      ///< A run ended since its endpoint fell silent.
  std::uint8_t Attempts = 0;
  std::uint32_t Starts = 0;   ///< Placements so far; numbers the next one.
  std::uint32_t Failures = 0; ///< Runs that the endpoint reported as failed.
  std::uint32_t Stops = 0;    ///< Runs that ended before their time.
};

/// A companion gave a task back. It does not get it again, since it may take
/// the second placement for a duplicate.
struct give_back {
  std::uint32_t Task = 0;
  companion_index Companion = NoCompanion;
  incarnation Incarnation{};
  bool IsFinal = true; ///< False if the companion may be tried again: the
                       ///< placement was lost on its way, or its endpoint was
                       ///< too small then.
  bool Fell = false;   ///< Its endpoint fell silent with the task.

  bool isOf(std::uint32_t Index, companion_index Candidate,
            incarnation Life) const {
    return Task == Index && Companion == Candidate && Incarnation == Life;
  }
};

/// Steps of a job's life.
enum class job_phase : std::uint8_t {
  Claiming, ///< Waits for the claim; nothing may be placed.
  Active,   ///< Tasks wait or run.
  Failing,  ///< The failure is known, its certainty is not yet.
  Answered, ///< The answer is out; the last tasks have not ended yet.
};

/// A job between its submission and the end of its last task.
struct job {
  job_id Id;
  request_id Request{};
  class_index Class = 0;
  team_index Team = 0;
  job_phase Phase = job_phase::Active;
  bool CallerGone = false;
  bool Accepted = false;     ///< Its tasks could be placed.
  bool Claimed = false;      ///< The claim row is held by this attempt.
  bool ClaimPending = false; ///< The claim has been asked for.
  bool MayHaveRun = false;   ///< Some task has started, or may have.
  bool Late = false;         ///< Admitted although it can't meet its target.
  std::string AdmittedBy;    ///< Until it is accepted: why it counts as late.
  instant Arrival;
  std::optional<instant> Deadline;
  std::optional<instant> Timer; ///< Registered with the timers.
  std::string Key;
  std::string CallerId;    ///< Empty if the caller gave none.
  bool Repeatable = false; ///< Tasks may run again, one run after the other.
  std::uint64_t RequestDigest = 0;
  std::optional<job_failure> Failure; ///< From Failing on.

  std::vector<task> Tasks;
  std::uint32_t NextFresh = 0; ///< Tasks from here on were never placed.
  std::uint32_t Waiting = 0;   ///< Tasks in the state Waiting.
  std::uint32_t Placed = 0;
  std::uint32_t Completed = 0;
  std::vector<give_back> GivenBack;

  // Kept by the waiting queue.
  instant ShareSince;          ///< When the current share was let in.
  std::uint32_t ShareLeft = 0; ///< Tasks left of the current share.
  duration ExpectedRunTime{};  ///< Of one of its tasks.
  duration ExpectedWork{};   ///< The same by the slots or cores that it takes.
  duration LongestRunTime{}; ///< Of its tasks that have completed.
  bool Queued = false;       ///< In the waiting queue.
  bool Parked = false;       ///< Its team is out of starts.
};

/// \returns the name of \p Job towards endpoints.
inline std::string runNameOf(const job &Job) {
  return Job.CallerId.empty() ? toString(Job.Id) : Job.CallerId;
}

/// A task of a job by its place in memory.
struct task_ref {
  job *Job = nullptr;
  std::uint32_t Index = 0;

  task &get() const { return Job->Tasks[Index]; }
  task_id getId() const { return {.Job = Job->Id, .Index = Index}; }
};

} // namespace crocuswood::entry
