#include "core_implementation.h"

#include <algorithm>
#include <utility>

namespace crocuswood::entry {

namespace {

// Time limits are checked this many times in a heartbeat interval.
constexpr int ChecksPerHeartbeat = 2;
// A balancer that looks every second and needs two looks has noticed by then.
constexpr duration BalancerTime = std::chrono::milliseconds(2'500);

template <class... Handlers> struct overloads : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers> overloads(Handlers...) -> overloads<Handlers...>;

} // namespace

core::implementation::implementation(options Given)
    : State(std::move(Given)), Health(State), Admission(State), Claims(State),
      Jobs(State, Claims, Admission), Waiting(State, Jobs, Admission),
      Ends(State, Jobs, Health), Configurations(State),
      Links(State, Ends, Configurations, Health), Dispatcher(State, Health) {}

void core::implementation::handle(instant Now, event Event,
                                  std::vector<action> &Actions) {
  State.Sink.begin(Now, Actions);
  dispatchEvent(Event);
  Jobs.expireTimers();
  if (Now >= NextCheck) {
    checkTimes();
  }
  failLateJobs();
  if (!State.awaitsCallers()) {
    Dispatcher.run();
  }
  checkStop();
  scheduleWake();
}

void core::implementation::flush(instant Now, std::vector<action> &Actions) {
  State.Sink.begin(Now, Actions);
  Links.flush();
}

void core::implementation::dispatchEvent(event &Event) {
  std::visit(
      overloads{
          [&](job_submitted &Each) { Jobs.submit(std::move(Each)); },
          [&](const job_cancelled &Each) { Jobs.cancel(Each); },
          [&](const link_opened &Each) { Links.open(Each.Link); },
          [&](envelope_received &Each) {
            Links.receive(Each.Link, std::move(Each.Messages));
          },
          [&](const link_closed &Each) { Links.close(Each.Link, Each.Reason); },
          [&](const configuration_read &Each) {
            if (Configurations.offer(Each.Configuration)) {
              Links.announce();
            }
          },
          [&](entries_read &Each) {
            Configurations.takeEntries(std::move(Each.Entries));
          },
          [&](const claim_answered &Each) { Jobs.takeClaim(Each); },
          [&](const claim_settled &Each) { Claims.noteSettled(Each); },
          [&](const timer_expired &) { WakeAt.reset(); },
          [&](const lag_measured &Each) { takeLag(Each.Lag); },
          [&](const pause_noticed &) { checkCallers(); },
          [&](const callers_checked &) { takeCallersChecked(); },
          [&](const stop_requested &) { requestStop(); },
          [&](evacuation_read &Each) {
            Links.takeEvacuation(std::move(Each.State), "the store");
          }},
      Event);
}

void core::implementation::takeLag(duration Lag) {
  const bool WasAway = State.Overload.sendsCallersAway();
  State.Overload.note(Lag, State.now());
  const bool IsAway = State.Overload.sendsCallersAway();
  if (IsAway != WasAway) {
    State.Sink.record({.Kind = IsAway ? event_kind::EntryOverloaded
                                      : event_kind::EntryRecovered,
                       .Value = Lag.count()});
    AwaySince = State.now();
  }
  const bool Steers = IsAway && State.now() - AwaySince >= BalancerTime;
  if (Steers != SteersAway) {
    SteersAway = Steers;
    State.Sink.push(steer_callers{.Away = Steers});
  }
}

void core::implementation::checkCallers() {
  ++State.CallerChecks;
  State.Sink.push(check_callers{});
}

void core::implementation::takeCallersChecked() {
  --State.CallerChecks;
  if (!State.awaitsCallers()) {
    Links.grantLeases();
  }
}

void core::implementation::checkTimes() {
  NextCheck =
      State.now() + State.Options.HeartbeatInterval / ChecksPerHeartbeat;
  closeIntake();
  Links.checkTimes();
  Claims.retryUnsettled();
  State.Crashes.checkTimes(State.now());
  State.Interference.checkTimes();
  State.Companions.refreshSums(
      static_cast<std::uint32_t>(State.Entries.size()));
  State.Companions.refreshCold(State.now());
  Health.checkTimes();
  Admission.checkTimes();
  Jobs.checkEndpoints();
  Waiting.checkTimes();
  State.Teams.setEntries(State.Companions.countEntries(), State.now());
}

void core::implementation::requestStop() {
  if (State.Draining || State.Stopping) {
    return;
  }
  State.Draining = true;
  IntakeEnds = State.now() + State.Options.StopDelay;
  if (State.Options.StopLimit > duration::zero()) {
    JobsEnd = State.now() + State.Options.StopLimit;
    IntakeEnds = std::min(*IntakeEnds, *JobsEnd);
  }
  closeIntake();
}

void core::implementation::closeIntake() {
  if (!IntakeEnds || State.now() < *IntakeEnds) {
    return;
  }
  IntakeEnds.reset();
  State.Stopping = true;
  State.Sink.push(intake_closed{});
  Links.announce();
}

void core::implementation::failLateJobs() {
  if (hasEndedJobs() && !LateJobsFailed) {
    LateJobsFailed = true;
    Jobs.failAll({.Code = failure_code::Stopping,
                  .Reason = "The entry stops before the job could end."});
  }
}

bool core::implementation::hasEndedJobs() const {
  return JobsEnd && State.now() >= *JobsEnd;
}

// Once the time for jobs is over, nothing but their answers is waited for:
// companions end their tasks, and claims are settled while the process drains.
bool core::implementation::mayStop() const {
  if (hasEndedJobs()) {
    return State.Jobs.countRequests() == 0;
  }
  return State.Jobs.getCount() == 0 && Claims.isSettled();
}

void core::implementation::checkStop() {
  if (!State.Stopping || StopReported || !mayStop()) {
    return;
  }
  StopReported = true;
  State.Sink.push(stop_finished{});
}

void core::implementation::scheduleWake() {
  instant Next = NextCheck;
  if (const auto Timer = State.Jobs.getNextTimer()) {
    Next = std::min(Next, *Timer);
  }
  if (const auto Ready = Dispatcher.getNextTime()) {
    Next = std::min(Next, *Ready);
  }
  if (JobsEnd && !hasEndedJobs()) {
    Next = std::min(Next, *JobsEnd);
  }
  if (WakeAt && *WakeAt == Next) {
    return;
  }
  WakeAt = Next;
  State.Sink.push(wake_at{.At = Next});
}

status core::implementation::getStatus() const {
  status Status{.Stopping = State.Draining,
                .ConfigurationRevision = State.Configuration.Revision,
                .WastedMessages = State.Messages.Wasted,
                .SentMessages = State.Messages.Sent,
                .ReceivedMessages = State.Messages.Received,
                .Heartbeats = State.Messages.Heartbeats,
                .ClassVisits = State.ClassVisits,
                .Evacuation = State.Evacuation};
  bool Serving = false;
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    const companion_record &Record = State.Companions[Index];
    Serving = Serving || State.Companions.mayServe(Record);
    Status.Companions.push_back(
        {.Name = Name,
         .Zone = Record.Zone,
         .Operators = Record.Operators,
         .Linked = Record.Link.has_value(),
         .SetAside = Record.SetAside,
         .Endpoint = Record.Endpoint,
         .Load = Record.Load,
         .Outstanding = static_cast<std::uint32_t>(Record.Outstanding.size()),
         .Cold = State.Companions.isCold(Index, State.now())});
  }
  std::vector<std::uint32_t> Placed(State.Classes.getCount());
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    for (const task_ref &Task : State.Companions[Index].Outstanding) {
      ++Placed[Task.Job->Class];
    }
  }
  for (class_index Index = 0; Index < State.Classes.getCount(); ++Index) {
    const work_class &Class = State.Classes[Index];
    class_status Counters = Class.Counters;
    Counters.WaitingTasks = State.Queue.getCount(Index);
    Counters.PlacedTasks = Placed[Index];
    Status.Classes[Class.Spec.Name] = Counters;
  }
  Status.Interference = State.Interference.getStatus();
  Status.InterferenceFigures = State.Interference.getFigures();
  Status.Ready = State.Configuration.Revision > 0 && Serving &&
                 !State.Draining && !State.Overload.sendsCallersAway();
  return Status;
}

} // namespace crocuswood::entry
