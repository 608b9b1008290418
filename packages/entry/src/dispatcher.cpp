#include "dispatcher.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

// Companions start late tasks after all that can be on time.
constexpr std::uint32_t LatePriority = 1'000'000;
// A task that full companions have given back this often is queued at the next.
constexpr std::uint8_t MaxReturns = 3;

} // namespace

dispatcher::dispatcher(entry_state &State, health &Health)
    : State(State), Health(Health),
      Policy(makePolicy(State.Options.Policy, State.Options.Seed,
                        State.Options.FollowsSpeed ||
                            State.Options.AvoidsInterference)) {}

void dispatcher::run() {
  admitReadyTeams();
  admitFitting();
  if (State.Queue.getCount() == 0 && State.Retries.isEmpty()) {
    return;
  }
  Blocked.assign(State.Classes.getCount(), false);
  BlockedSuspects.assign(State.Classes.getCount(), false);
  runRetries();
  while (true) {
    auto Choice = chooseOnTime();
    if (!Choice) {
      Choice = chooseLate();
    }
    if (!Choice) {
      return;
    }
    if (!placeNext(*Choice)) {
      Blocked[Choice->Job->Class] = true;
    }
  }
}

std::optional<instant> dispatcher::getNextTime() const {
  return State.Teams.getNextReady(State.now());
}

void dispatcher::admitReadyTeams() {
  while (job *Job = State.Teams.takeReady(State.now())) {
    State.Queue.add(*Job, Job->ExpectedRunTime);
  }
}

void dispatcher::admitFitting() {
  if (SeenOffers == State.Companions.getOfferChanges()) {
    return;
  }
  SeenOffers = State.Companions.getOfferChanges();
  std::erase_if(State.Oversized, [this](const oversized_job &Each) {
    job *Job = State.Jobs.find(Each.Id);
    if (Job == nullptr || Job->Phase != job_phase::Active) {
      return true;
    }
    if (!State.Companions.mayFit(Job->Class,
                                 Job->Tasks[Job->NextFresh].Needs)) {
      return false;
    }
    State.Queue.add(*Job, Job->ExpectedRunTime);
    return true;
  });
}

void dispatcher::runRetries() {
  std::size_t Left = State.Retries.getCount();
  State.Retries.noteTime(State.now());
  while (Left > 0 && State.Retries.hasBudget()) {
    --Left;
    const task_id Id = State.Retries.take();
    job *Job = State.Jobs.find(Id.Job);
    if (Job == nullptr || Job->Tasks[Id.Index].State != task_state::Waiting) {
      continue;
    }
    if (!placeRetry({.Job = Job, .Index = Id.Index})) {
      State.Retries.add(Id);
    }
  }
}

bool dispatcher::placeRetry(const task_ref &Task) {
  const bool Suspect = isSuspect(Task);
  if (Suspect && (BlockedSuspects[Task.Job->Class] || awaitsCrashes(Task))) {
    return false;
  }
  const companion_index Companion = findCompanion(Task);
  if (Companion == NoCompanion) {
    BlockedSuspects[Task.Job->Class] = Suspect;
    return false;
  }
  State.Retries.spend();
  place(Task, Companion,
        Task.Job->Arrival + State.Classes[Task.Job->Class].getTarget() -
            Task.Job->ExpectedRunTime);
  return true;
}

std::optional<dispatcher::choice> dispatcher::chooseOnTime() const {
  std::optional<choice> Best;
  for (const class_index Class : State.Queue.getOccupied()) {
    ++State.ClassVisits;
    if (Blocked[Class]) {
      continue;
    }
    const auto Front =
        State.Queue.getFront(Class, State.Classes[Class].getTarget());
    if (!Front) {
      continue;
    }
    const choice Choice{.Job = Front->Job,
                        .Due = Front->Due,
                        .Priority = State.Classes[Class].Spec.Priority};
    if (!Best || Choice.isBefore(*Best)) {
      Best = Choice;
    }
  }
  return Best;
}

std::optional<dispatcher::choice> dispatcher::chooseLate() const {
  std::optional<choice> Best;
  for (const class_index Class : State.Queue.getOccupied()) {
    ++State.ClassVisits;
    job *Job = Blocked[Class] ? nullptr : State.Queue.getLateFront(Class);
    if (Job == nullptr) {
      continue;
    }
    const choice Choice{.Job = Job,
                        .Due = Job->Arrival + State.Classes[Class].getTarget(),
                        .Priority = State.Classes[Class].Spec.Priority};
    if (!Best || Choice.isBefore(*Best)) {
      Best = Choice;
    }
  }
  return Best;
}

bool dispatcher::placeNext(const choice &Choice) {
  job &Job = *Choice.Job;
  const task_ref Next{.Job = &Job, .Index = Job.NextFresh};
  const companion_index Companion = findCompanion(Next);
  const bool Waits = Companion == NoCompanion;
  if (Waits && setAsideOversized(Job)) {
    return true;
  }
  if (Waits && !isSuspect(Next)) {
    return false;
  }
  if (!State.Teams.takeStart(Job.Team, State.now())) {
    State.Queue.park(Job);
    State.Teams.park(Job);
    return true;
  }
  const std::uint32_t Index = State.Queue.take(Job, State.now());
  if (Waits) {
    // The tasks behind a suspect need not wait with it.
    State.Retries.add({.Job = Job.Id, .Index = Index});
    return true;
  }
  State.Retries.notePlacement();
  place({.Job = &Job, .Index = Index}, Companion, Choice.Due);
  return true;
}

bool dispatcher::setAsideOversized(job &Job) {
  if (State.Companions.mayFit(Job.Class, Job.Tasks[Job.NextFresh].Needs)) {
    return false;
  }
  State.Queue.park(Job);
  State.Oversized.push_back({.Id = Job.Id, .Since = State.now()});
  return true;
}

bool dispatcher::isSuspect(const task_ref &Task) const {
  return Task.get().Fell ||
         State.Crashes.getCrashes(runNameOf(*Task.Job), Task.Index) > 0;
}

bool dispatcher::awaitsCrashes(const task_ref &Task) const {
  const std::uint32_t Known =
      State.Crashes.getCrashes(runNameOf(*Task.Job), Task.Index);
  std::uint32_t Unknown = 0;
  for (const give_back &Each : Task.Job->GivenBack) {
    const companion_record &Record = State.Companions[Each.Companion];
    const bool IsDown = Record.InUse && Record.Link &&
                        Record.Id.Incarnation == Each.Incarnation &&
                        Record.Endpoint.State == endpoint_state::Absent &&
                        State.now() - Record.ServedAt < EndpointReturnTime;
    Unknown += Each.Fell && Each.Task == Task.Index && IsDown ? 1 : 0;
  }
  return Unknown > 0 && Known + Unknown >= AloneCrashes;
}

bool dispatcher::mayMeetTarget(const job &Job, const work_class &Class) const {
  return !Job.Late &&
         State.now() < Job.Arrival + Class.getTarget() - Job.ExpectedRunTime;
}

std::uint32_t dispatcher::priorityOf(const job &Job) const {
  const work_class &Class = State.Classes[Job.Class];
  const bool GoesLast =
      State.Options.JudgesPromptly && Job.Late && Class.givesUpLate();
  return GoesLast ? LatePriority : Class.Spec.Priority;
}

companion_index dispatcher::findCompanion(const task_ref &Task) {
  const job &Job = *Task.Job;
  const bool Suspect = isSuspect(Task);
  const auto MayTake = [&](companion_index Candidate) {
    if (!State.Companions.hasNeeds(Candidate, Task.get().Needs) ||
        (Suspect && State.Companions[Candidate].Suspects > 0)) {
      return false;
    }
    const incarnation Life = State.Companions[Candidate].Id.Incarnation;
    return std::none_of(Job.GivenBack.begin(), Job.GivenBack.end(),
                        [&](const give_back &Each) {
                          return Each.isOf(Task.Index, Candidate, Life);
                        });
  };
  const std::function<bool(companion_index)> Filter = std::ref(MayTake);
  State.Companions.refreshSome(State.now());
  const std::uint32_t MilliCores = Task.get().Needs.MilliCores;
  const work_class &Class = State.Classes[Job.Class];
  return Policy->choose(
      {.Class = Job.Class,
       .Room = MilliCores > 0 ? MilliCores : SlotRoom,
       .Waiting = State.Queue.getCount(),
       .LessUrgent = Class.LessUrgent,
       .Priority = priorityOf(Job),
       .Demand = {.Target = Class.getTarget(),
                  .RunTime = Class.expect(std::nullopt)},
       .AnySpeed = !Class.givesUpLate() || !mayMeetTarget(Job, Class),
       .MayWait = Job.Late && Class.givesUpLate(),
       .Harms = State.Interference.getHarms(),
       .Companions = State.Companions,
       .MayTake = Filter});
}

void dispatcher::place(const task_ref &Task, companion_index Companion,
                       instant Due) {
  job &Job = *Task.Job;
  task &Placed = Task.get();
  const work_class &Class = State.Classes[Job.Class];
  --Job.Waiting;
  ++Job.Placed;
  Placed.Written = false;
  Placed.Withdrawn = false;
  Placed.Suspect = isSuspect(Task);
  State.Teams.addWaiting(Job.Team, -1);
  State.Companions.assign(Task, Companion, State.now());
  place_task Message{.Task = Task.getId(),
                     .Class = Class.Spec.Name,
                     .Input = Placed.Bytes,
                     .Slack = Due - State.now(),
                     .ExpectedRunTime = Class.expect(Placed.DeclaredRunTime),
                     .Needs = Placed.Needs,
                     .Pool = poolOf(Class.Spec),
                     .RunName = runNameOf(Job),
                     .Attempt = ++Placed.Starts,
                     .Priority = priorityOf(Job)};
  Message.Crashes = State.Crashes.getCrashes(Message.RunName, Task.Index);
  Message.ReturnIfFull =
      State.Companions.followsSpeed() && Placed.Attempts < MaxReturns;
  if (Job.Repeatable) {
    Message.RunLimit = Class.getRunLimit(
        Placed.Stops, State.Companions.getSlowness(Companion));
  }
  if (Job.Deadline) {
    Message.Deadline = *Job.Deadline - State.now();
  }
  State.Companions.openOutbox(Companion).addPlacement(
      {.Task = Task, .Message = std::move(Message)});
  Health.notePlaced(Companion, Job.Class);
  companion_record &Record = State.Companions[Companion];
  if (Record.ReportUnused) {
    Record.ReportUnused = false;
    --State.Messages.Wasted;
  }
}

} // namespace crocuswood::entry
