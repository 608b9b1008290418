#include "submission_check.h"

#include <utility>

namespace crocuswood::entry {

namespace {

// How long a job waits for an endpoint that could run it to appear.
constexpr duration EndpointGrace = std::chrono::seconds(2);

} // namespace

job_failure notRun(failure_code Code, std::string Reason,
                   std::optional<duration> RetryAfter) {
  return {.Code = Code,
          .Certainty = run_certainty::NotRun,
          .Reason = std::move(Reason),
          .RetryAfter = RetryAfter};
}

task_needs needsOf(const task_request &Task, const class_spec &Class) {
  task_needs Needs = Task.Needs;
  if (Needs.MemoryBytes == 0) {
    Needs.MemoryBytes = Class.MemoryBytes;
  }
  if (Needs.Accelerators == 0) {
    Needs.Accelerators = Class.Accelerators;
  }
  return Needs;
}

job_failure failureOf(const task_crashes &Task) {
  return {.Code = failure_code::TaskFailed,
          .Certainty = run_certainty::MayHaveRun,
          .Reason = "Endpoints crashed again and again under task " +
                    std::to_string(Task.Index) +
                    ", the last while it ran alone.",
          .Task = Task.Index};
}

std::optional<job_failure> submission_check::find(const job_request &Request) {
  if (auto Fault = findFault(Request)) {
    return Fault;
  }
  if (const auto Fatal = State.Crashes.findFatal(Request.CallerId)) {
    return failureOf(*Fatal);
  }
  return findOverload(Request);
}

std::optional<job_failure>
submission_check::findFault(const job_request &Request) const {
  if (State.Stopping) {
    return notRun(failure_code::Stopping, "This entry is shutting down.",
                  NotReadyRetry);
  }
  if (State.Configuration.Revision == 0) {
    return notRun(failure_code::NotReady,
                  "This entry has no configuration yet.", NotReadyRetry);
  }
  const auto Class = State.Classes.find(Request.Class);
  if (!Class) {
    return notRun(failure_code::UnknownClass,
                  "No class is called '" + Request.Class + "'.");
  }
  if (!State.Teams.find(Request.Team)) {
    return notRun(failure_code::UnknownTeam,
                  "No team is called '" + Request.Team + "'.");
  }
  if (Request.Tasks.empty() || Request.Tasks.size() > MaxTasksPerJob) {
    return notRun(failure_code::InvalidRequest,
                  "A job has 1 to " + std::to_string(MaxTasksPerJob) +
                      " tasks.");
  }
  if (Request.Deadline && Request.Deadline->count() <= 0) {
    return notRun(failure_code::InvalidRequest, "The deadline has passed.");
  }
  if (!State.Classes[*Class].Spec.Idempotent && !Request.Repeatable &&
      Request.IdempotencyKey.empty()) {
    return notRun(failure_code::KeyRequired,
                  "Class '" + Request.Class + "' needs an idempotency key.");
  }
  return std::nullopt;
}

std::optional<job_failure>
submission_check::findOverload(const job_request &Request) {
  if (State.Overload.refusesJobs()) {
    return notRun(failure_code::Overloaded,
                  "This entry is behind with its work.", NotReadyRetry);
  }
  if (State.UnfinishedTasks + Request.Tasks.size() >
      State.Options.MaxOutstandingTasks) {
    return notRun(failure_code::Overloaded,
                  "This entry has too many unfinished tasks.", NotReadyRetry);
  }
  const class_index Class = *State.Classes.find(Request.Class);
  if (hasNoEndpoint(Class)) {
    return notRun(failure_code::NoEndpoint,
                  "No endpoint can run class '" + Request.Class + "'.",
                  EndpointGrace);
  }
  if (isOversized(Class, Request)) {
    return notRun(failure_code::NoEndpoint,
                  "No endpoint has the room that a task needs.", EndpointGrace);
  }
  const team_index Team = *State.Teams.find(Request.Team);
  const duration Wait = State.Teams.expectedWait(
      Team, static_cast<std::uint32_t>(Request.Tasks.size()));
  if (Wait > State.Classes[Class].getTarget()) {
    return notRun(failure_code::QuotaExceeded,
                  "The quota of team '" + Request.Team + "' is used up.", Wait);
  }
  return std::nullopt;
}

bool submission_check::hasNoEndpoint(class_index Class) const {
  return State.Companions.countRunners(Class) == 0 &&
         Class < RunnableAt.size() &&
         State.now() - RunnableAt[Class] > EndpointGrace;
}

bool submission_check::isOversized(class_index Class,
                                   const job_request &Request) const {
  const class_spec &Spec = State.Classes[Class].Spec;
  std::optional<task_needs> Fitting;
  for (const task_request &Task : Request.Tasks) {
    const task_needs Needs = needsOf(Task, Spec);
    // Tasks of one job mostly need the same.
    if (Fitting == Needs) {
      continue;
    }
    if (!State.Companions.mayFit(Class, Needs)) {
      return true;
    }
    Fitting = Needs;
  }
  return false;
}

void submission_check::noteEndpoints() {
  RunnableAt.resize(State.Classes.getCount(), State.now());
  for (class_index Class = 0; Class < State.Classes.getCount(); ++Class) {
    if (State.Companions.countRunners(Class) > 0) {
      RunnableAt[Class] = State.now();
    }
  }
}

} // namespace crocuswood::entry
