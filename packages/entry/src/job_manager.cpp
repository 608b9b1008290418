#include "job_manager.h"

#include <algorithm>
#include <set>
#include <utility>

namespace crocuswood::entry {

namespace {

// How long an answer that is due waits for the proof that nothing has run.
constexpr duration CertaintyLimit = std::chrono::milliseconds(250);
// Codes that tell of load, not of a fault of the request.
bool isRefusalUnderLoad(failure_code Code) {
  return Code == failure_code::Overloaded ||
         Code == failure_code::QuotaExceeded;
}

std::int64_t milliseconds(duration Span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Span).count();
}

// For the time line: what an admission that was not on time went by.
std::string describe(const admission_decision &Decision) {
  return " Expected wait " + std::to_string(milliseconds(Decision.Wait)) +
         " ms, longest for a job on time " +
         std::to_string(milliseconds(Decision.MaxWait)) + " ms, as late " +
         std::to_string(milliseconds(Decision.LateWait)) + " ms.";
}

} // namespace

job_manager::job_manager(entry_state &State, claim_manager &Claims,
                         admission &Admission)
    : State(State), Claims(Claims), Admission(Admission), Check(State) {}

// Submission.

bool job_manager::takeOver(const job_submitted &Event) {
  job *Earlier = Event.Job.CallerId.empty()
                     ? nullptr
                     : State.Jobs.findCaller(Event.Job.CallerId);
  if (Earlier == nullptr) {
    return false;
  }
  if (Earlier->Phase != job_phase::Active ||
      Earlier->RequestDigest != digest(Event.Job)) {
    refuse(State.Jobs.nextId(), Event.Request, Event.Job,
           notRun(failure_code::Overloaded,
                  "An earlier attempt under this id is still being stopped.",
                  NotReadyRetry));
    return true;
  }
  State.Sink.push(answer_caller{
      .Request = Earlier->Request,
      .Answer = {.Job = Earlier->Id,
                 .Outcome = job_failure{
                     .Code = failure_code::Superseded,
                     .Certainty = run_certainty::MayHaveRun,
                     .Reason = "The same job has arrived again."}}});
  State.Jobs.rebind(*Earlier, Event.Request);
  if (Event.Job.Deadline) {
    Earlier->Deadline = State.now() + *Event.Job.Deadline;
    State.Jobs.setTimer(*Earlier, *Earlier->Deadline);
  }
  State.Sink.record({.Kind = event_kind::JobTakenOver,
                     .Job = Earlier->Id,
                     .Class = Event.Job.Class,
                     .Key = Event.Job.CallerId});
  return true;
}

void job_manager::submit(job_submitted Event) {
  if (takeOver(Event)) {
    return;
  }
  const job_id Id = State.Jobs.nextId();
  const std::uint64_t Digest = digest(Event.Job);
  State.Sink.record(
      {.Kind = event_kind::JobSubmitted,
       .Job = Id,
       .Class = Event.Job.Class,
       .Team = Event.Job.Team,
       .Key = Event.Job.IdempotencyKey.empty() ? Event.Job.CallerId
                                               : Event.Job.IdempotencyKey,
       .Digest = Digest,
       .Value = static_cast<std::int64_t>(Event.Job.Tasks.size())});
  auto Failure = Check.find(Event.Job);
  if (Failure) {
    refuse(Id, Event.Request, Event.Job, std::move(*Failure));
    return;
  }
  const admission_decision Decision =
      Admission.decide(*State.Classes.find(Event.Job.Class), Event.Job);
  if (const auto *Refused = std::get_if<job_failure>(&Decision.Result)) {
    refuse(Id, Event.Request, Event.Job, *Refused, describe(Decision));
    return;
  }
  job &Job = accept(Id, std::move(Event), Digest);
  Job.Late = std::get<admission_kind>(Decision.Result) == admission_kind::Late;
  if (Job.Late) {
    Job.AdmittedBy = describe(Decision);
  }
  // A caller that allows its tasks to run again needs no claim.
  if (State.Classes[Job.Class].Spec.Idempotent || Job.Repeatable) {
    activate(Job);
    return;
  }
  Job.Phase = job_phase::Claiming;
  const instant ClaimEnd = State.now() + State.Options.ClaimLimit;
  State.Jobs.setTimer(Job, std::min(ClaimEnd, Job.Deadline.value_or(ClaimEnd)));
  Claims.ask(Job);
}

void job_manager::refuse(const job_id &Id, request_id Request,
                         const job_request &Job, job_failure Failure,
                         const std::string &Detail) {
  const auto Class = State.Classes.find(Job.Class);
  if (Class && isRefusalUnderLoad(Failure.Code)) {
    ++State.Classes[*Class].Counters.Refused;
  }
  const bool NotRun = Failure.Certainty == run_certainty::NotRun;
  State.Sink.record(
      {.Kind = NotRun ? event_kind::JobRefused : event_kind::JobFailed,
       .Job = Id,
       .Class = Job.Class,
       .Team = Job.Team,
       .Code = toString(Failure.Code),
       .Reason = Failure.Reason + Detail,
       .Certainty = toString(Failure.Certainty)});
  const job_outcome Outcome = std::move(Failure);
  State.Sink.record(
      {.Kind = event_kind::AnswerSent, .Job = Id, .Digest = digest(Outcome)});
  State.Sink.push(answer_caller{.Request = Request,
                                .Answer = {.Job = Id, .Outcome = Outcome}});
}

job &job_manager::accept(const job_id &Id, job_submitted Event,
                         std::uint64_t Digest) {
  job &Job = State.Jobs.add(Id, Event.Request);
  Job.Class = *State.Classes.find(Event.Job.Class);
  Job.Team = *State.Teams.find(Event.Job.Team);
  Job.Arrival = State.now();
  Job.Key = std::move(Event.Job.IdempotencyKey);
  Job.RequestDigest = Digest;
  if (Event.Job.Deadline) {
    Job.Deadline = Job.Arrival + *Event.Job.Deadline;
  }
  Job.Repeatable = Event.Job.Repeatable;
  State.Jobs.setCaller(Job, std::move(Event.Job.CallerId));
  const class_spec &Class = State.Classes[Job.Class].Spec;
  Job.Tasks.resize(Event.Job.Tasks.size());
  for (std::size_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    task_request &Asked = Event.Job.Tasks[Index];
    Job.Tasks[Index].Bytes = std::move(Asked.Input);
    Job.Tasks[Index].DeclaredRunTime = Asked.DeclaredRunTime;
    Job.Tasks[Index].Needs = needsOf(Asked, Class);
  }
  const auto Count = static_cast<std::uint32_t>(Job.Tasks.size());
  Job.Waiting = Count;
  State.UnfinishedTasks += Count;
  State.Teams.addWaiting(Job.Team, Count);
  return Job;
}

void job_manager::activate(job &Job) {
  work_class &Class = State.Classes[Job.Class];
  ++Class.Counters.Accepted;
  State.Sink.record({.Kind = event_kind::JobAccepted,
                     .Job = Job.Id,
                     .Class = Class.Spec.Name,
                     .Team = State.Teams.getName(Job.Team),
                     .Code = Job.Late ? "late" : "",
                     .Reason = std::exchange(Job.AdmittedBy, {})});
  Job.Accepted = true;
  Job.Phase = job_phase::Active;
  State.Jobs.clearTimer(Job);
  if (Job.Deadline) {
    State.Jobs.setTimer(Job, *Job.Deadline);
  }
  State.Queue.add(Job, Class.expect(Job.Tasks.front().DeclaredRunTime));
}

// Claims.

void job_manager::takeClaim(const claim_answered &Event) {
  job *Job = State.Jobs.find(Event.Job);
  if (Job == nullptr || !Job->ClaimPending) {
    return;
  }
  Job->ClaimPending = false;
  Job->Claimed = Event.Status == claim_status::Confirmed;
  if (Job->Claimed) {
    State.Sink.record(
        {.Kind = event_kind::ClaimConfirmed, .Job = Job->Id, .Key = Job->Key});
  }
  if (Job->Phase != job_phase::Claiming) {
    // The job was answered before its claim was. The row tells a resubmission
    // how this attempt ended.
    if (Job->Claimed) {
      Claims.settle(*Job, *Job->Failure);
    }
    progress(*Job);
    return;
  }
  switch (Event.Status) {
  case claim_status::Confirmed:
    activate(*Job);
    return;
  case claim_status::Held:
    takeHeldClaim(*Job, Event);
    return;
  case claim_status::Refused:
    refuseClaim(*Job, "The table service did not take the claim.");
    return;
  case claim_status::Unknown:
    State.Sink.record(
        {.Kind = event_kind::ClaimUnknown, .Job = Job->Id, .Key = Job->Key});
    refuseClaim(*Job, "The claim could not be confirmed. This attempt has not "
                      "run, but its row may block the key.");
    return;
  }
}

void job_manager::takeHeldClaim(job &Job, const claim_answered &Event) {
  State.Sink.record({.Kind = event_kind::ClaimHeld,
                     .Job = Job.Id,
                     .Key = Job.Key,
                     .Digest = Event.HolderDigest});
  if (Event.HolderDigest != Job.RequestDigest) {
    fail(Job, notRun(failure_code::KeyReused,
                     "The key was used for a different request."));
    return;
  }
  dropWaiting(Job);
  if (Event.HolderOutcome) {
    sendAnswer(Job, *Event.HolderOutcome, digest(*Event.HolderOutcome));
    progress(Job);
    return;
  }
  Job.MayHaveRun = true;
  fail(Job, {.Code = failure_code::EarlierAttempt,
             .Reason = "An earlier attempt with this key may have run."});
}

void job_manager::refuseClaim(job &Job, const std::string &Reason) {
  fail(Job, notRun(failure_code::StoreUnavailable, Reason, NotReadyRetry));
}

// Cancellation and time limits.

void job_manager::cancel(const job_cancelled &Event) {
  job *Job = State.Jobs.findRequest(Event.Request);
  if (Job == nullptr) {
    return;
  }
  State.Sink.record({.Kind = event_kind::CancelAsked, .Job = Job->Id});
  Job->CallerGone = Job->CallerGone || Event.CallerGone;
  fail(*Job, {.Code = failure_code::Cancelled,
              .Reason = Event.CallerGone ? "The caller went away."
                                         : "The caller withdrew the job."});
}

void job_manager::expireTimers() {
  while (job *Job = State.Jobs.takeExpired(State.now())) {
    expire(*Job);
  }
}

void job_manager::checkEndpoints() {
  Check.noteEndpoints();
  // Jobs that end here leave the queue.
  const std::set<class_index> Occupied = State.Queue.getOccupied();
  for (const class_index Class : Occupied) {
    ++State.ClassVisits;
    if (!Check.hasNoEndpoint(Class)) {
      continue;
    }
    while (job *Job = State.Queue.getAny(Class)) {
      fail(*Job, {.Code = failure_code::NoEndpoint,
                  .Reason = "No endpoint can run class '" +
                            State.Classes[Class].Spec.Name + "'."});
    }
  }
}

void job_manager::expire(job &Job) {
  if (Job.Phase == job_phase::Answered) {
    // The answer to the claim no longer matters.
    Job.ClaimPending = false;
    progress(Job);
    return;
  }
  if (Job.Phase == job_phase::Failing) {
    // Without the proof in time, a start can't be excluded.
    Job.MayHaveRun = true;
    progress(Job);
    return;
  }
  const bool DeadlinePassed = Job.Deadline && *Job.Deadline <= State.now();
  if (Job.Phase == job_phase::Claiming && !DeadlinePassed) {
    refuseClaim(Job, "The claim was not confirmed in time. This attempt has "
                     "not run, but its row may block the key.");
    return;
  }
  fail(Job, {.Code = failure_code::DeadlineExceeded,
             .Reason = "The deadline passed before the last task ended."});
}

// Failure.

void job_manager::fail(job &Job, job_failure Failure) {
  if (Job.Phase == job_phase::Claiming || Job.Phase == job_phase::Active) {
    Job.Phase = job_phase::Failing;
    Job.Failure = std::move(Failure);
    dropWaiting(Job);
    withdrawPlaced(Job);
    State.Jobs.setTimer(Job, State.now() + CertaintyLimit);
  }
  progress(Job);
}

void job_manager::dropWaiting(job &Job) {
  if (Job.Parked) {
    State.Teams.unpark(Job);
  }
  State.Queue.remove(Job);
  State.Teams.addWaiting(Job.Team, -static_cast<std::int64_t>(Job.Waiting));
  State.UnfinishedTasks -= Job.Waiting;
  Job.Waiting = 0;
  for (task &Task : Job.Tasks) {
    if (Task.State == task_state::Waiting) {
      Task.State = task_state::NotStarted;
    }
  }
}

void job_manager::withdrawPlaced(job &Job) {
  for (std::uint32_t Index = 0; Index < Job.Tasks.size(); ++Index) {
    task &Task = Job.Tasks[Index];
    if (Task.State != task_state::Placed) {
      continue;
    }
    const task_ref Ref{.Job = &Job, .Index = Index};
    const companion_index Companion = Task.Companion;
    if (!Task.Written) {
      State.Companions[Companion].Outbox.removePlacement(Ref);
      State.Companions.release(Ref, State.now());
      Task.State = task_state::NotStarted;
      --Job.Placed;
      --State.UnfinishedTasks;
      continue;
    }
    Task.Withdrawn = true;
    State.Sink.recordTask(event_kind::TaskWithdrawn, Ref.getId(),
                          State.companionName(Companion));
    if (State.Companions[Companion].Link) {
      State.Companions.openOutbox(Companion).addWithdrawal(Ref.getId());
    }
  }
}

void job_manager::failAll(const job_failure &Failure) {
  for (const request_id Request : State.Jobs.listRequests()) {
    if (job *Job = State.Jobs.findRequest(Request)) {
      fail(*Job, Failure);
    }
  }
}

// Answers.

void job_manager::progress(job &Job) {
  if (Job.Phase == job_phase::Active && Job.Completed == Job.Tasks.size()) {
    finishWithResults(Job);
  }
  if (Job.Phase == job_phase::Failing && (Job.MayHaveRun || Job.Placed == 0)) {
    finishWithFailure(Job);
  }
  if (Job.Phase == job_phase::Answered && Job.Placed == 0 &&
      !Job.ClaimPending) {
    State.Jobs.remove(Job);
  }
}

void job_manager::finishWithResults(job &Job) {
  job_results Results;
  Results.Outputs.reserve(Job.Tasks.size());
  for (task &Task : Job.Tasks) {
    Results.Outputs.push_back(std::move(Task.Bytes));
  }
  const job_outcome Outcome = std::move(Results);
  const std::uint64_t Digest = digest(Outcome);
  State.Sink.record({.Kind = event_kind::JobCompleted,
                     .Job = Job.Id,
                     .Class = State.Classes[Job.Class].Spec.Name,
                     .Digest = Digest});
  countAnswer(Job, true);
  if (Job.Claimed) {
    Claims.settle(Job, Outcome);
  }
  sendAnswer(Job, Outcome, Digest);
}

void job_manager::finishWithFailure(job &Job) {
  Job.Failure->Certainty =
      Job.MayHaveRun ? run_certainty::MayHaveRun : run_certainty::NotRun;
  const bool Refused = !Job.Accepted && !Job.MayHaveRun;
  State.Sink.record(
      {.Kind = Refused ? event_kind::JobRefused : event_kind::JobFailed,
       .Job = Job.Id,
       .Class = State.Classes[Job.Class].Spec.Name,
       .Team = State.Teams.getName(Job.Team),
       .Code = toString(Job.Failure->Code),
       .Reason = Job.Failure->Reason,
       .Certainty = toString(Job.Failure->Certainty)});
  if (Job.Accepted) {
    countAnswer(Job, false);
  }
  if (Job.Claimed) {
    Claims.settle(Job, *Job.Failure);
  }
  sendAnswer(Job, *Job.Failure, digest(job_outcome(*Job.Failure)));
}

void job_manager::countAnswer(const job &Job, bool Completed) {
  work_class &Class = State.Classes[Job.Class];
  ++(Completed ? Class.Counters.Completed : Class.Counters.Failed);
  const bool Missed =
      Completed && State.now() - Job.Arrival > Class.getTarget();
  Class.Counters.Missed += Missed ? 1 : 0;
  // A job with a task that runs longer than the target misses it without any
  // wait, and no refusal or order of other jobs could help it.
  const bool Avoidable = Job.LongestRunTime < Class.getTarget();
  Admission.noteAnswer(Job.Class, Missed && Avoidable);
}

void job_manager::sendAnswer(job &Job, job_outcome Outcome,
                             std::uint64_t Digest) {
  Job.Phase = job_phase::Answered;
  State.Jobs.clearTimer(Job);
  if (Job.ClaimPending) {
    State.Jobs.setTimer(Job, State.now() + State.Options.ClaimLimit);
  }
  State.Jobs.releaseRequest(Job);
  for (task &Task : Job.Tasks) {
    Task.Bytes = payload();
  }
  if (Job.CallerGone) {
    State.Sink.record({.Kind = event_kind::AnswerDropped, .Job = Job.Id});
    return;
  }
  State.Sink.record(
      {.Kind = event_kind::AnswerSent, .Job = Job.Id, .Digest = Digest});
  State.Sink.push(
      answer_caller{.Request = Job.Request,
                    .Answer = {.Job = Job.Id, .Outcome = std::move(Outcome)}});
}

} // namespace crocuswood::entry
