/// \file
/// Jobs as callers submit them, and their answers.
#pragma once

#include <crocuswood/model/ids.h>
#include <crocuswood/model/payload.h>
#include <crocuswood/model/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood {

/// Most tasks that one job may have.
constexpr std::uint32_t MaxTasksPerJob = 1300;

/// What one task takes of an endpoint. A member that is 0 is not stated: the
/// class's need counts then, and without a stated processor the task takes one
/// slot.
struct task_needs {
  std::uint32_t MilliCores = 0; ///< Thousandths of a core.
  std::uint64_t MemoryBytes = 0;
  std::uint32_t Accelerators = 0;

  friend auto operator<=>(const task_needs &, const task_needs &) = default;
};

/// One task of a request.
struct task_request {
  payload Input;
  std::optional<duration>
      DeclaredRunTime; ///< The caller's estimate; often far off.
  task_needs Needs;

  friend bool operator==(const task_request &, const task_request &) = default;
};

/// A job as a caller submits it.
struct job_request {
  std::string Class;
  std::string Team;
  std::vector<task_request> Tasks;
  std::optional<duration>
      Deadline; ///< Span from arrival after which the answer is useless.
  std::string IdempotencyKey; ///< Empty when none was given.
  /// The caller's own id of the job; empty when none was given. A job that
  /// arrives again under the id of one that still runs takes over its answer.
  std::string CallerId;
  /// The caller allows tasks to run again from the start, one run after the
  /// other.
  bool Repeatable = false;

  friend bool operator==(const job_request &, const job_request &) = default;
};

/// \returns a digest over everything in \p Request that decides its answer.
std::uint64_t digest(const job_request &Request);

/// Why a job has no results.
enum class failure_code : std::uint8_t {
  InvalidRequest,   ///< The request itself is wrong.
  UnknownClass,     ///< No class of this name is configured.
  UnknownTeam,      ///< No team of this name is configured.
  KeyRequired,      ///< The class is not idempotent and the request has no key.
  KeyReused,        ///< The key was used for a different request.
  EarlierAttempt,   ///< The key was claimed before and no outcome is known.
  Overloaded,       ///< Refused under load.
  QuotaExceeded,    ///< The team's quota is used up.
  NoEndpoint,       ///< No endpoint could ever run one of the tasks.
  StoreUnavailable, ///< The claim could not be confirmed.
  DeadlineExceeded, ///< The deadline passed first.
  Cancelled,        ///< The caller withdrew the job or went away.
  TaskFailed,       ///< The endpoint reported a failure of one task.
  EndpointLost, ///< The endpoint or its companion was lost with the task on it.
  NotReady,     ///< The entry has no configuration yet.
  Stopping,     ///< The entry is shutting down.
  Superseded,   ///< The caller has sent the job again.
};

/// \returns the code in snake case, such as `quota_exceeded`.
std::string toString(failure_code Code);
/// \returns nothing if \p Text names no code.
std::optional<failure_code> parseFailureCode(std::string_view Text);

/// What is known about the tasks of a failed job.
enum class run_certainty : std::uint8_t {
  NotRun,     ///< Proved: no task of the job has started or will start.
  MayHaveRun, ///< Some task has started, or that cannot be excluded.
};

/// \returns `not_run` or `may_have_run`.
std::string toString(run_certainty Certainty);

/// Outputs of every task of a job, in the order of the request.
struct job_results {
  std::vector<payload> Outputs;

  friend bool operator==(const job_results &, const job_results &) = default;
};

/// A job without results. There are never partial results.
struct job_failure {
  failure_code Code = failure_code::InvalidRequest;
  run_certainty Certainty = run_certainty::NotRun;
  std::string Reason; ///< A short sentence for people.
  std::optional<duration>
      RetryAfter; ///< When a new attempt is worth while, if ever.
  std::optional<std::uint32_t> Task; ///< The task at fault, if one is.

  friend bool operator==(const job_failure &, const job_failure &) = default;
};

using job_outcome = std::variant<job_results, job_failure>;

/// The one answer to a submission. `Job` is empty when the request was refused
/// before it got an id.
struct job_answer {
  std::optional<job_id> Job;
  job_outcome Outcome;

  friend bool operator==(const job_answer &, const job_answer &) = default;
};

/// \returns a digest over the outcome, to compare answers without their bytes.
std::uint64_t digest(const job_outcome &Outcome);

} // namespace crocuswood
