#include "task_ends.h"

#include <algorithm>
#include <utility>

namespace crocuswood::entry {

namespace {

// A task given back more often than this fails its job.
constexpr std::uint8_t MaxAttempts = 16;
constexpr int RoundTripGrowth = 256;

} // namespace

task_ends::task_ends(entry_state &State, job_manager &Jobs, health &Health)
    : State(State), Jobs(Jobs), Health(Health) {}

std::optional<task_ref> task_ends::findOutstanding(companion_index Companion,
                                                   const task_id &Task) {
  job *Job = State.Jobs.find(Task.Job);
  if (Job == nullptr || Task.Index >= Job->Tasks.size()) {
    return std::nullopt;
  }
  const task &Found = Job->Tasks[Task.Index];
  if (Found.State != task_state::Placed || Found.Companion != Companion) {
    return std::nullopt;
  }
  return task_ref{.Job = Job, .Index = Task.Index};
}

void task_ends::takeEnd(companion_index Companion, task_ended End) {
  // The acknowledgement rides with the next envelope, so it does not put the
  // companion into the list of those to flush.
  State.Companions[Companion].Outbox.addAcknowledgement(End.Task);
  const auto Task = findOutstanding(Companion, End.Task);
  if (!Task) {
    ++State.Messages.Wasted;
    State.Sink.recordTask(event_kind::TaskResultStale, End.Task,
                          State.companionName(Companion));
    return;
  }
  const instant PlacedAt = Task->get().PlacedAt;
  if (auto *Completed = std::get_if<task_completed>(&End.End)) {
    takeOutput(Companion, *Task, *Completed);
  } else if (const auto *Failed = std::get_if<task_failed>(&End.End)) {
    takeFailure(Companion, *Task, *Failed);
  } else if (const auto *Returned = std::get_if<task_not_started>(&End.End)) {
    takeReturn(Companion, *Task, Returned->Reason);
  } else if (const auto *Stopped = std::get_if<task_stopped>(&End.End)) {
    takeStop(Companion, *Task, *Stopped);
  } else {
    takeLoss(Companion, *Task, std::get<task_lost>(End.End).Reason);
  }
  // The companion had received every earlier placement before this end.
  const duration RoundTrip = State.Companions[Companion].RoundTrip;
  State.Companions.takeLoad(Companion, End.Load,
                            std::max(PlacedAt, State.now() - RoundTrip),
                            State.now());
}

void task_ends::release(const task_ref &Task, task_state Next) {
  State.Companions.release(Task, State.now());
  Task.get().State = Next;
  --Task.Job->Placed;
  if (Next == task_state::Waiting) {
    ++Task.Job->Waiting;
    State.Teams.addWaiting(Task.Job->Team, 1);
  } else {
    --State.UnfinishedTasks;
  }
}

void task_ends::takeOutput(companion_index Companion, const task_ref &Task,
                           task_completed &Completed) {
  job &Job = *Task.Job;
  work_class &Class = State.Classes[Job.Class];
  // As on an endpoint of usual speed.
  const duration RunTime(
      static_cast<std::int64_t>(static_cast<double>(Completed.RunTime.count()) /
                                State.Companions.getSlowness(Companion)));
  State.Interference.noteEnd(Companion, Task, RunTime);
  Class.RunTimes.learn(RunTime, Task.get().DeclaredRunTime);
  Task.Job->LongestRunTime =
      std::max(Task.Job->LongestRunTime, Completed.RunTime);
  State.Sink.record({.Kind = event_kind::TaskResultTaken,
                     .Job = Job.Id,
                     .Task = Task.Index,
                     .Peer = State.companionName(Companion),
                     .Digest = digest(Completed.Output.getBytes())});
  State.Companions.noteRunTime(Completed.RunTime);
  noteSpeed(Companion, Class, Completed.RunTime);
  learnRoundTrip(Companion, Task.get(), Completed.RunTime);
  release(Task, task_state::Completed);
  Health.noteCompleted(Companion, Job.Class, Task.get().PlacedAt);
  ++Job.Completed;
  Job.MayHaveRun = true;
  if (Job.Phase == job_phase::Active) {
    Task.get().Bytes = std::move(Completed.Output);
  }
  Jobs.progress(Job);
}

void task_ends::takeFailure(companion_index Companion, const task_ref &Task,
                            const task_failed &Failed) {
  job &Job = *Task.Job;
  State.Sink.record({.Kind = event_kind::TaskResultTaken,
                     .Job = Job.Id,
                     .Task = Task.Index,
                     .Peer = State.companionName(Companion),
                     .Code = toString(failure_code::TaskFailed),
                     .Reason = Failed.Reason});
  Health.noteFailed(Companion, Job.Class, Task.get().PlacedAt);
  Job.MayHaveRun = true;
  const std::uint32_t Limit = State.Classes[Job.Class].Spec.MaxAttempts;
  if (++Task.get().Failures < Limit && mayRepeat(Job)) {
    repeat(Companion, Task, Failed.Reason);
    return;
  }
  release(Task, task_state::MayHaveRun);
  Jobs.fail(Job, {.Code = failure_code::TaskFailed,
                  .Reason = "A task failed: " + Failed.Reason,
                  .Task = Task.Index});
}

void task_ends::takeReturn(companion_index Companion, const task_ref &Task,
                           not_started_reason Reason) {
  job &Job = *Task.Job;
  const companion_record &Record = State.Companions[Companion];
  // Both the placement and its return were in vain.
  State.Messages.Wasted += 2;
  State.Sink.recordTask(event_kind::TaskReturned, Task.getId(), Record.Id.Name,
                        toString(Reason));
  if (Reason == not_started_reason::Unreachable) {
    Health.noteUnreachable(Companion, Job.Class);
  } else {
    Health.noteReturned(Companion, Job.Class);
  }
  if (Job.Phase != job_phase::Active) {
    release(Task, task_state::NotStarted);
    Jobs.progress(Job);
    return;
  }
  if (Reason == not_started_reason::DeadlinePassed) {
    release(Task, task_state::NotStarted);
    Jobs.fail(Job, {.Code = failure_code::DeadlineExceeded,
                    .Reason = "The deadline passed before the task started.",
                    .Task = Task.Index});
    return;
  }
  Job.GivenBack.push_back(
      {.Task = Task.Index,
       .Companion = Companion,
       .Incarnation = Record.Id.Incarnation,
       .IsFinal = Reason != not_started_reason::Unknown &&
                  Reason != not_started_reason::Unsupported});
  if (++Task.get().Attempts >= MaxAttempts) {
    release(Task, task_state::NotStarted);
    Jobs.fail(Job, {.Code = failure_code::Overloaded,
                    .Reason = "Too many companions gave a task back.",
                    .Task = Task.Index});
    return;
  }
  if (Reason == not_started_reason::Full && State.Companions.followsSpeed()) {
    // It is no second run, and waits for no budget of its own.
    State.Retries.allowOne();
  }
  takeBack(Task);
}

void task_ends::takeStop(companion_index Companion, const task_ref &Task,
                         const task_stopped &Stopped) {
  if (Stopped.Overdue) {
    Health.noteFailed(Companion, Task.Job->Class, Task.get().PlacedAt);
  }
  if (!mayRepeat(*Task.Job)) {
    takeLoss(Companion, Task, Stopped.Reason);
    return;
  }
  Task.Job->MayHaveRun = true;
  ++Task.get().Stops;
  // Nobody stopped it: its endpoint fell silent, most likely by a crash, which
  // the companion can't tell before the endpoint is back.
  const bool EndpointFell =
      !Stopped.Overdue &&
      State.Companions[Companion].Endpoint.State == endpoint_state::Absent;
  Task.get().Fell = Task.get().Fell || EndpointFell;
  const work_class &Class = State.Classes[Task.Job->Class];
  // A run that was cut short tells of its companion only if it was long.
  if (Stopped.RunTime > Class.expect(std::nullopt)) {
    noteSpeed(Companion, Class, Stopped.RunTime);
  }
  repeat(Companion, Task, Stopped.Reason, EndpointFell);
}

void task_ends::noteSpeed(companion_index Companion, const work_class &Class,
                          duration RunTime) {
  const duration Mean = Class.expect(std::nullopt);
  if (Mean > duration::zero()) {
    State.Companions.noteSlowness(Companion,
                                  static_cast<double>(RunTime.count()) /
                                      static_cast<double>(Mean.count()),
                                  State.now());
  }
}

bool task_ends::mayRepeat(const job &Job) const {
  return Job.Repeatable && Job.Phase == job_phase::Active;
}

void task_ends::repeat(companion_index Companion, const task_ref &Task,
                       const std::string &Reason, bool Fell) {
  State.Sink.recordTask(event_kind::TaskRepeated, Task.getId(),
                        State.companionName(Companion), Reason);
  Task.Job->GivenBack.push_back(
      {.Task = Task.Index,
       .Companion = Companion,
       .Incarnation = State.Companions[Companion].Id.Incarnation,
       .Fell = Fell});
  takeBack(Task);
}

void task_ends::takeBack(const task_ref &Task) {
  release(Task, task_state::Waiting);
  State.Retries.add(Task.getId());
}

void task_ends::takeLoss(companion_index Companion, const task_ref &Task,
                         const std::string &Reason) {
  job &Job = *Task.Job;
  State.Sink.recordTask(event_kind::TaskUncertain, Task.getId(),
                        State.companionName(Companion), Reason);
  release(Task, task_state::MayHaveRun);
  Job.MayHaveRun = true;
  Jobs.fail(Job, {.Code = failure_code::EndpointLost,
                  .Reason = Reason,
                  .Task = Task.Index});
}

void task_ends::learnRoundTrip(companion_index Companion, const task &Task,
                               duration RunTime) {
  duration &RoundTrip = State.Companions[Companion].RoundTrip;
  const duration Sample = State.now() - Task.PlacedAt - RunTime;
  const bool IsFirst = RoundTrip.count() == 0;
  // The smallest sample had no wait in a queue. Letting the estimate grow
  // slowly follows a path that has become longer.
  RoundTrip = IsFirst || Sample < RoundTrip
                  ? std::max(Sample, duration(1))
                  : RoundTrip + (Sample - RoundTrip) / RoundTripGrowth;
}

void task_ends::takeBackUnwritten(companion_index Companion) {
  for (const pending_placement &Placement :
       State.Companions[Companion].Outbox.takePlacements()) {
    takeBack(Placement.Task);
  }
}

void task_ends::noteRunning(companion_index Companion, const task_id &Task) {
  const auto Found = findOutstanding(Companion, Task);
  if (!Found) {
    return;
  }
  Found->Job->MayHaveRun = true;
  Jobs.progress(*Found->Job);
}

void task_ends::takeCrashes(companion_index Companion,
                            const crash_report &Report) {
  const std::string Reporter = State.companionName(Companion);
  for (const crashed_task &Each : Report.Tasks) {
    const task_crashes Crashes{.Index = Each.Index, .Crashes = Each.Crashes};
    if (!State.Crashes.note(Each.RunName, Crashes, Reporter, State.now())) {
      continue;
    }
    job *Job = State.Jobs.findRunName(Each.RunName);
    const std::uint32_t Known =
        State.Crashes.getCrashes(Each.RunName, Each.Index);
    if (Known >= FatalCrashes && Job != nullptr &&
        Each.Index < Job->Tasks.size()) {
      Job->MayHaveRun = true;
      Jobs.fail(*Job, failureOf({.Index = Each.Index, .Crashes = Known}));
    }
  }
}

void task_ends::loseAll(companion_index Companion, const std::string &Reason) {
  takeBackUnwritten(Companion);
  while (!State.Companions[Companion].Outstanding.empty()) {
    const task_ref Task = State.Companions[Companion].Outstanding.back();
    if (State.Options.GrantsLeases) {
      takeStop(Companion, Task, {.Reason = Reason});
    } else {
      takeLoss(Companion, Task, Reason);
    }
  }
}

} // namespace crocuswood::entry
