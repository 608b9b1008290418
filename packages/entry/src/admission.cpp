#include "admission.h"

#include "submission_check.h"

#include <algorithm>
#include <cmath>

namespace crocuswood::entry {

namespace {

constexpr duration PartLength = std::chrono::seconds(6);
// Jobs taken as late may wait for this many times their target.
constexpr int LateTargets = 8;
constexpr duration LeastLateLimit = std::chrono::seconds(5);
// Part of the target that a wait may always take, however long tasks run.
constexpr int LeastWaitDivisor = 10;
// Bounds and step of the tolerances.
constexpr double MinTolerance = 0.25;
constexpr double MinPromptTolerance = 0.1;
constexpr double MaxTolerance = 0.75;
constexpr double ToleranceStep = 0.05;
// Classes with fewer jobs in the window do not move the tolerances.
constexpr std::uint32_t EnoughJobs = 20;

// Part of the time left that a wait may take while no overload lasts.
constexpr double CalmTolerance = 1;
// An overload lasts when waits have been too long for this time.
constexpr duration OverloadTime = std::chrono::seconds(3);
// The same where overload is met at its start: a few loads of companions.
constexpr duration PromptOverloadTime = std::chrono::milliseconds(100);
// Part of the time left that a wait may take there. The wait is that of a job's
// mean task; its last task waits about twice as long.
constexpr double PromptTolerance = 0.2;
// Above this part of the time left, hardly any job turns out to be on time.
constexpr double HopelessTolerance = 0.5;
// Late jobs that wait for more than this many times the time left have piled
// up.
constexpr double PiledUpTolerance = 2;
// Late tasks are expected to get at least this part of the entry's share of the
// slots, so that a first late job is taken before any has been placed.
constexpr double LeastLateShare = 0.1;
// More urgent classes are taken to leave at least this part of the slots, since
// the entry sees its own share of them only.
constexpr double LeastPartLeft = 0.2;
// Time over which rates of tasks are averaged: a few of their run times.
constexpr duration RateMemory = std::chrono::milliseconds(500);
// Patience is back after this time without long waits.
constexpr duration RecoveryTime = std::chrono::seconds(1);

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

admission::window &admission::windowOf(class_index Class) {
  const auto [Place, Added] = Windows.try_emplace(Class);
  if (Added) {
    Place->second.Rate.Taken = State.Queue.getTaken(Class);
  }
  return Place->second;
}

admission::counts &admission::currentPart(window &Window) {
  return Window.Parts[Part];
}

duration admission::overloadTime() const {
  return State.Options.JudgesPromptly ? PromptOverloadTime : OverloadTime;
}

double admission::leastTolerance() const {
  return State.Options.JudgesPromptly ? MinPromptTolerance : MinTolerance;
}

double admission::greatestTolerance() const {
  return State.Options.JudgesPromptly ? PromptTolerance : MaxTolerance;
}

// Expected waits.

duration admission::expectedWait(class_index Class) {
  window &Window = windowOf(Class);
  if (Window.Slots == 0) {
    Window.Slots = State.Companions.countSlots(Class);
  }
  if (Window.Slots == 0) {
    return {};
  }
  const double Target = seconds(State.Classes[Class].getTarget());
  const std::uint32_t Priority = State.Classes[Class].Spec.Priority;
  double Work = 0;
  for (const class_index Other : State.Queue.getOccupied()) {
    ++State.ClassVisits;
    const double OtherTarget = seconds(State.Classes[Other].getTarget());
    const std::uint32_t OtherPriority = State.Classes[Other].Spec.Priority;
    if (OtherPriority > Priority) {
      continue;
    }
    // Of a class with a longer target, only the older jobs go first.
    const bool GoesFirst = OtherPriority < Priority || OtherTarget <= Target;
    const double Ahead = GoesFirst ? 1 : Target / OtherTarget;
    Work += seconds(State.Queue.getWork(Other)) * Ahead;
  }
  // The other entries are taken to have as much waiting as this one.
  Work *= State.Companions.countEntries();
  // Companions start the most urgent of their queued tasks first.
  for (const auto &[Queued, RunTime] : QueuedWork) {
    Work += Queued <= Priority ? seconds(RunTime) : 0;
  }
  return fromSeconds(Work / (Window.Slots * partLeft(Class)));
}

duration admission::lateWait(class_index Class) {
  const double Slots = std::max(1U, windowOf(Class).Slots);
  const double Share = Slots / State.Companions.countEntries();
  const bool MayWait = State.Classes[Class].givesUpLate();
  const double Least = MayWait ? Share * LeastLateShare : Share;
  const double Rate = std::clamp(LateRate.Slots, Least, Share);
  return fromSeconds(seconds(State.Queue.getLateWork()) / Rate);
}

void admission::follow(rate &Rate, duration Taken, double Passed) {
  const double Slots = seconds(Taken - Rate.Taken) / Passed;
  Rate.Taken = Taken;
  Rate.Slots +=
      (Slots - Rate.Slots) * std::min(1.0, Passed / seconds(RateMemory));
}

void admission::measureRates(double Passed) {
  if (Passed <= 0) {
    return;
  }
  follow(LateRate, State.Queue.getLateTaken(), Passed);
  SlotsByPriority.clear();
  for (auto &[Class, Window] : Windows) {
    ++State.ClassVisits;
    follow(Window.Rate, State.Queue.getTaken(Class), Passed);
    SlotsByPriority[State.Classes[Class].Spec.Priority] += Window.Rate.Slots;
  }
}

double admission::partLeft(class_index Class) {
  const std::uint32_t Priority = State.Classes[Class].Spec.Priority;
  double Urgent = 0;
  for (const auto &[Other, Slots] : SlotsByPriority) {
    Urgent += Other < Priority ? Slots : 0;
  }
  const double Slots = std::max(1U, windowOf(Class).Slots);
  const double Used = Urgent * State.Companions.countEntries() / Slots;
  return std::max(LeastPartLeft, 1 - Used);
}

bool admission::givesWay(class_index Class) {
  const std::uint32_t Priority = State.Classes[Class].Spec.Priority;
  const double Pressure = pressureOf(Class);
  for (const auto &[Other, Window] : Windows) {
    ++State.ClassVisits;
    if (State.Classes[Other].Spec.Priority > Priority &&
        pressureOf(Other) > Pressure &&
        expectedWait(Other) > longestWait(Other, CalmTolerance)) {
      return true;
    }
  }
  return false;
}

duration admission::longestWait(class_index Class, double Tolerance) {
  const work_class &Work = State.Classes[Class];
  const duration Target = Work.getTarget();
  const duration Left = Target - Work.expect(std::nullopt);
  return fromSeconds(seconds(std::max(Left, Target / LeastWaitDivisor)) *
                     Tolerance);
}

// Decisions.

// While demand exceeds what can be done, a late job takes its room from one
// that could be on time. Where late jobs don't pile up, there is room for them.
bool admission::refusesLate(class_index Class,
                            const admission_decision &Decision) {
  return State.Options.JudgesPromptly && Patience <= 0 &&
         State.Classes[Class].givesUpLate() &&
         (Decision.Wait > longestWait(Class, HopelessTolerance) ||
          Decision.LateWait > longestWait(Class, PiledUpTolerance));
}

bool admission::mayRefuse(const window &Window, class_index Class) const {
  const double Share = State.Classes[Class].Spec.RefuseAtMost;
  return Window.Sum.Refused + 1 <= Share * (Window.Sum.Submitted);
}

duration admission::workOf(class_index Class, const job_request &Job) const {
  const work_class &Work = State.Classes[Class];
  std::int64_t Room = 0;
  for (const task_request &Task : Job.Tasks) {
    const std::uint32_t MilliCores = needsOf(Task, Work.Spec).MilliCores;
    Room += MilliCores > 0 ? MilliCores : SlotRoom;
  }
  return Work.expect(std::nullopt) * Room / SlotRoom;
}

double admission::toleranceOf(const window &Window, const job_request &Job) {
  if (Patience >= 1) {
    return CalmTolerance;
  }
  if (State.Options.SpreadsReturns && !Job.CallerId.empty() &&
      Returns.redeem(State.now(), Job.CallerId)) {
    return CalmTolerance;
  }
  const double Tolerance = std::lerp(Window.Tolerance, CalmTolerance, Patience);
  return State.Options.SharesFairly
             ? Tolerance * Shares.getTolerance(State.now(), Job.Team)
             : Tolerance;
}

job_failure admission::refuse(class_index Class, const job_request &Job,
                              duration Wait) {
  window &Window = windowOf(Class);
  ++currentPart(Window).Refused;
  ++Window.Sum.Refused;
  return {.Code = failure_code::Overloaded,
          .Certainty = run_certainty::NotRun,
          .Reason = "The job would miss its target.",
          .RetryAfter =
              bookReturn(Class, Job.CallerId, Wait, workOf(Class, Job))};
}

duration admission::bookReturn(class_index Class, const std::string &Caller,
                               duration Wait, duration Work) {
  if (!State.Options.SpreadsReturns) {
    return Wait;
  }
  const double Slots = windowOf(Class).Slots;
  return Returns.book(State.now(), Caller, Wait, Work,
                      Slots / State.Companions.countEntries());
}

admission_decision admission::decide(class_index Class,
                                     const job_request &Job) {
  window &Window = windowOf(Class);
  ++currentPart(Window).Submitted;
  ++Window.Sum.Submitted;
  if (State.Options.SharesFairly) {
    Shares.note(State.now(), Job.Team, workOf(Class, Job));
  }
  admission_decision Decision{.Result = admission_kind::OnTime,
                              .Wait = expectedWait(Class),
                              .MaxWait =
                                  longestWait(Class, toleranceOf(Window, Job))};
  if (Decision.Wait <= Decision.MaxWait && !givesWay(Class)) {
    return Decision;
  }
  Decision.LateWait = Decision.Wait + lateWait(Class);
  if (mayRefuse(Window, Class) || Decision.LateWait > getLateLimit(Class) ||
      refusesLate(Class, Decision)) {
    Decision.Result = refuse(Class, Job, Decision.LateWait);
  } else {
    Decision.Result = admission_kind::Late;
  }
  return Decision;
}

duration admission::getLateLimit(class_index Class) const {
  const work_class &Work = State.Classes[Class];
  if (Work.givesUpLate()) {
    const double Useful = seconds(Work.getTarget()) * Work.Spec.UsefulTargets;
    return fromSeconds(Useful) - Work.expect(std::nullopt);
  }
  return std::max(State.Classes[Class].getTarget() * LateTargets,
                  LeastLateLimit);
}

void admission::noteAnswer(class_index Class, bool Missed) {
  if (Missed) {
    window &Window = windowOf(Class);
    ++currentPart(Window).Missed;
    ++Window.Sum.Missed;
  }
}

// Spreading of misses.

double admission::pressureOf(class_index Class) {
  const window &Window = windowOf(Class);
  const class_spec &Spec = State.Classes[Class].Spec;
  const double Submitted = std::max(1U, Window.Sum.Submitted);
  const double Refused = Window.Sum.Refused / Submitted;
  const double Excess = std::max(0.0, Refused - Spec.RefuseAtMost);
  return Window.Sum.Missed / Submitted - (1 - Spec.Quantile) + Excess;
}

void admission::balanceTolerances() {
  double Worst = 0;
  for (const auto &[Class, Window] : Windows) {
    ++State.ClassVisits;
    if (Window.Sum.Submitted >= EnoughJobs) {
      Worst = std::max(Worst, pressureOf(Class));
    }
  }
  for (auto &[Class, Window] : Windows) {
    // Classes that do better than the worst give way, all others recover.
    const bool GivesWay = Worst > 0 && pressureOf(Class) < Worst / 2;
    const double Step = GivesWay ? -ToleranceStep : ToleranceStep;
    Window.Tolerance = std::clamp(Window.Tolerance + Step, leastTolerance(),
                                  greatestTolerance());
  }
}

void admission::judgeOverload() {
  const bool IsLong = std::ranges::any_of(Windows, [this](const auto &Item) {
    ++State.ClassVisits;
    return expectedWait(Item.first) >
           longestWait(Item.first, greatestTolerance());
  });
  const double Passed = seconds(State.now() - JudgedAt);
  JudgedAt = State.now();
  measureRates(Passed);
  const double Change = IsLong ? -Passed / seconds(overloadTime())
                               : Passed / seconds(RecoveryTime);
  Patience = std::clamp(Patience + Change, 0.0, 1.0);
}

void admission::checkTimes() {
  QueuedWork.clear();
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    for (const queued_work &Each : State.Companions[Index].Load.QueuedWork) {
      QueuedWork[Each.Priority] += Each.RunTime;
    }
  }
  for (auto &[Class, Window] : Windows) {
    ++State.ClassVisits;
    Window.Slots = State.Companions.countSlots(Class);
  }
  judgeOverload();
  balanceTolerances();
  if (State.now() >= PartEnds) {
    endPart();
  }
}

void admission::endPart() {
  PartEnds = State.now() + PartLength;
  Part = (Part + 1) % WindowParts;
  for (auto &[Class, Window] : Windows) {
    counts &Oldest = currentPart(Window);
    Window.Sum.Submitted -= Oldest.Submitted;
    Window.Sum.Refused -= Oldest.Refused;
    Window.Sum.Missed -= Oldest.Missed;
    Oldest = counts();
  }
  std::erase_if(Windows, [this](const auto &Item) {
    return Item.second.Sum.Submitted == 0 &&
           State.Queue.getCount(Item.first) == 0;
  });
}

} // namespace crocuswood::entry
