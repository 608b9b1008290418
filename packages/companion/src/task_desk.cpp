#include "task_desk.h"

#include <algorithm>
#include <set>
#include <vector>

namespace crocuswood::companion {

namespace {

// An entry with this many waiting tasks has no free place for them elsewhere.
constexpr std::uint32_t LongBacklog = 8;
// Keeps the endpoint busy until the entries have heard of an end on it.
constexpr duration ShortQueue = std::chrono::milliseconds(20);

} // namespace

task_desk::task_desk(const options &Options, const configuration &Configuration,
                     entry_registry &Entries, entry_links &Links,
                     const endpoint_monitor &Endpoint)
    : Options(Options), Configuration(Configuration), Entries(Entries),
      Links(Links), Endpoint(Endpoint) {}

void task_desk::place(const step &Step, entry_peer &Peer,
                      place_task Placement) {
  const task_id Task = Placement.Task;
  Peer.Backlog = Placement.Backlog;
  const task_memory Memory = Peer.History.find(Task);
  if (Memory != task_memory::New) {
    answerDuplicate(Step, Peer, Task, Memory);
    return;
  }
  Peer.History.remember(Task, task_memory::Received);
  if (const auto Reason = findRefusal(Placement)) {
    refuse(Step, Task, *Reason);
    return;
  }
  timeline_event Event = makeEvent(event_kind::TaskQueued, Task);
  Event.Class = Placement.Class;
  Event.Peer = Peer.Id.Name;
  Step.record(std::move(Event));
  const instant StartBy = Step.Now + Placement.Slack;
  std::optional<instant> Deadline;
  if (Placement.Deadline) {
    Deadline = Step.Now + *Placement.Deadline;
  }
  const std::uint32_t Room = roomFor(Endpoint.getReport(), needsOf(Placement));
  Queue.add(queued_task{.Placement = std::move(Placement),
                        .StartBy = StartBy,
                        .Deadline = Deadline,
                        .Room = Room,
                        .QueuedAt = Step.Now});
}

std::optional<not_started_reason>
task_desk::findRefusal(const place_task &Task) const {
  const endpoint_report Report = Endpoint.getReport();
  if (Report.State != endpoint_state::Serving) {
    return not_started_reason::Leaving;
  }
  if (!isSupported(Task)) {
    return not_started_reason::Unsupported;
  }
  if (Task.Deadline && *Task.Deadline <= duration::zero()) {
    return not_started_reason::DeadlinePassed;
  }
  if (Task.ReturnIfFull && isTooFullFor(Task)) {
    return not_started_reason::Full;
  }
  if (Queue.getSize() >= Options.MaxQueuedTasks ||
      Entries.countRetainedBytes() >= Options.MaxRetainedBytes) {
    return not_started_reason::Full;
  }
  return std::nullopt;
}

bool task_desk::isTooFullFor(const place_task &Task) const {
  const endpoint_report Report = Endpoint.getReport();
  const std::uint32_t Capacity = capacityOf(Report);
  // Tasks may be queued beside free room, for their entry to vouch for them.
  if (UsedRoom + Queue.getRoom() + roomFor(Report, needsOf(Task)) <= Capacity &&
      hasResourcesFor(Task)) {
    return false;
  }
  if (Task.Backlog < LongBacklog) {
    return true;
  }
  duration Work{};
  // Less urgent tasks let it go first.
  for (const queued_work &Each : Queue.getWork()) {
    Work += Each.Priority <= Task.Priority ? Each.RunTime : duration::zero();
  }
  // Expected run times are those on an endpoint of usual speed.
  return Work * SlotRoom / UsualSlowness * Speed.getSlowness() >
         ShortQueue * static_cast<std::int64_t>(Capacity);
}

bool task_desk::isSupported(const place_task &Task) const {
  const endpoint_report Report = Endpoint.getReport();
  const std::string &Pool = Task.Pool.empty() ? Task.Class : Task.Pool;
  const task_needs Needs = needsOf(Task);
  return std::ranges::find(Report.Classes, Pool) != Report.Classes.end() &&
         Needs.MemoryBytes <= Report.MemoryBytes &&
         Needs.Accelerators <= Report.Accelerators &&
         roomFor(Report, Needs) <= capacityOf(Report);
}

void task_desk::answerDuplicate(const step &Step, entry_peer &Peer,
                                const task_id &Task, task_memory Memory) {
  timeline_event Event = makeEvent(event_kind::TaskDuplicate, Task);
  Event.Peer = Peer.Id.Name;
  Step.record(std::move(Event));
  if (const task_end *End = Peer.Ends.find(Task)) {
    send(Peer, task_ended{.Task = Task, .End = *End});
    return;
  }
  if (Memory == task_memory::GivenBack) {
    refuse(Step, Task, not_started_reason::Unknown);
    return;
  }
  if (Memory == task_memory::Forgotten) {
    finish(Step, Task,
           task_lost{.Reason = "older than the window of remembered tasks"});
  }
}

void task_desk::withdraw(const step &Step, entry_peer &Peer,
                         const withdraw_tasks &Message) {
  for (const task_id &Task : Message.Tasks) {
    if (Queue.remove(Task)) {
      refuse(Step, Task, not_started_reason::Withdrawn);
    } else if (Running.contains(Task)) {
      askToStop(Step, Task);
    } else if (Peer.History.find(Task) == task_memory::New) {
      refuse(Step, Task, not_started_reason::Unknown);
    }
  }
}

void task_desk::acknowledge(entry_peer &Peer, const acknowledge_ends &Message) {
  for (const task_id &Task : Message.Tasks) {
    const bool WasKept = Peer.Ends.remove(Task);
    if (WasKept && Peer.History.find(Task) == task_memory::GivenBack) {
      // The entry knows that the task came back, and messages of earlier links
      // are not taken, so a placement after this one is meant as a new one.
      Peer.History.remember(Task, task_memory::New);
    }
  }
}

void task_desk::resume(const step &Step, entry_peer &Peer,
                       const resume_request &Message) {
  if (!Message.Outstanding.empty()) {
    timeline_event Event = makeEvent(event_kind::LinkResumed, Peer.Id.Name);
    Event.Value = static_cast<std::int64_t>(Message.Outstanding.size());
    Step.record(std::move(Event));
  }
  Peer.ResendEnds = false;
  dropUnnamed(Step, Peer, Message);
  resume_reply Reply;
  for (const task_id &Task : Message.Outstanding) {
    resumeTask(Step, Peer, Task, Reply);
  }
  send(Peer, std::move(Reply));
}

void task_desk::dropUnnamed(const step &Step, entry_peer &Peer,
                            const resume_request &Message) {
  const std::set<task_id> Named(Message.Outstanding.begin(),
                                Message.Outstanding.end());
  for (const task_id &Task : Peer.Ends.listTasks()) {
    if (!Named.contains(Task)) {
      // The entry has taken this end; only its acknowledgement was lost.
      Peer.Ends.remove(Task);
    }
  }
  for (const task_id &Task : Queue.listTasks(Peer.Id.Incarnation)) {
    if (!Named.contains(Task)) {
      Queue.remove(Task);
      refuse(Step, Task, not_started_reason::Withdrawn);
    }
  }
}

void task_desk::resumeTask(const step &Step, entry_peer &Peer,
                           const task_id &Task, resume_reply &Reply) {
  if (const task_end *End = Peer.Ends.find(Task)) {
    send(Peer, task_ended{.Task = Task, .End = *End});
    return;
  }
  if (Queue.contains(Task)) {
    Reply.Standing.push_back({.Task = Task, .Place = task_place::Queued});
    return;
  }
  if (Running.contains(Task)) {
    Reply.Standing.push_back({.Task = Task, .Place = task_place::Running});
    return;
  }
  const task_memory Memory = Peer.History.find(Task);
  if (Memory == task_memory::New || Memory == task_memory::GivenBack) {
    refuse(Step, Task, not_started_reason::Unknown);
    return;
  }
  finish(Step, Task, task_lost{.Reason = "its end is not kept any more"});
}

void task_desk::resendEnds(entry_peer &Peer) {
  Peer.ResendEnds = false;
  for (const task_id &Task : Peer.Ends.listTasks()) {
    send(Peer, task_ended{.Task = Task, .End = *Peer.Ends.find(Task)});
  }
}

std::optional<ended_run> task_desk::takeRunning(const step &Step,
                                                const task_id &Task) {
  const auto Place = Running.find(Task);
  if (Place == Running.end()) {
    return std::nullopt;
  }
  const running_task &Run = Place->second;
  const ended_run Ended{.RunTime = Step.Now - Run.StartedAt,
                        .ExpectedRunTime = Run.ExpectedRunTime,
                        .Overdue = Run.Overdue};
  UsedMemoryBytes -= Run.Needs.MemoryBytes;
  UsedAccelerators -= Run.Needs.Accelerators;
  UsedRoom -= Run.Room;
  if (Options.ReportsClassRooms) {
    ClassRooms.remove(Run.Class, Run.Room);
  }
  AloneRuns -= Run.Alone ? 1 : 0;
  if (Run.OverdueAt) {
    Overdue.erase({*Run.OverdueAt, Task});
  }
  Running.erase(Place);
  return Ended;
}

void task_desk::startTasks(const step &Step) {
  giveBackExpired(Step);
  while (hasFreeSlot()) {
    const queued_task *First = Queue.getFirst(
        [&](incarnation Entry) { return isVouchedFor(Entry, Step.Now); });
    if (First == nullptr || !mayRunBeside(First->Placement) ||
        !hasResourcesFor(First->Placement)) {
      return;
    }
    start(Step, *Queue.remove(First->Placement.Task));
  }
}

bool task_desk::isVouchedFor(incarnation Entry, instant Now) const {
  if (Options.EntryLease == duration::zero()) {
    return true;
  }
  const entry_peer *Peer = Entries.find(Entry);
  return Peer != nullptr && Now < Peer->LeaseUntil;
}

void task_desk::giveBackExpired(const step &Step) {
  while (const auto Task = Queue.findExpired(Step.Now)) {
    Queue.remove(*Task);
    refuse(Step, *Task, not_started_reason::DeadlinePassed);
  }
}

void task_desk::start(const step &Step, queued_task Task) {
  place_task &Placement = Task.Placement;
  running_task Run{.StartedAt = Step.Now,
                   .Endpoint = Endpoint.getAddress(),
                   .Needs = needsOf(Placement)};
  Run.Room = roomFor(Endpoint.getReport(), Run.Needs);
  Run.ExpectedRunTime = Placement.ExpectedRunTime;
  Run.Alone = Placement.Crashes >= AloneCrashes;
  AloneRuns += Run.Alone ? 1 : 0;
  UsedMemoryBytes += Run.Needs.MemoryBytes;
  UsedAccelerators += Run.Needs.Accelerators;
  UsedRoom += Run.Room;
  if (Options.ReportsClassRooms) {
    Run.Class = Placement.Class;
    ClassRooms.add(Run.Class, Run.Room);
  }
  if (Placement.RunLimit) {
    Run.OverdueAt = Step.Now + *Placement.RunLimit;
    Overdue.emplace(*Run.OverdueAt, Placement.Task);
  }
  Running.emplace(Placement.Task, Run);
  ++Started;
  timeline_event Event = makeEvent(event_kind::TaskStarted, Placement.Task);
  Event.Class = Placement.Class;
  Event.Peer = Endpoint.getName();
  Step.record(std::move(Event));
  Step.Actions.emplace_back(start_task{.Task = Placement.Task,
                                       .Class = std::move(Placement.Class),
                                       .Input = std::move(Placement.Input),
                                       .Endpoint = Run.Endpoint,
                                       .RunName = std::move(Placement.RunName),
                                       .Attempt = Placement.Attempt,
                                       .Crashes = Placement.Crashes,
                                       .Life = Endpoint.getLife()});
}

void task_desk::askToStop(const step &Step, const task_id &Task) {
  running_task &Run = Running.at(Task);
  if (Run.StopAsked) {
    return;
  }
  Run.StopAsked = true;
  Step.Actions.emplace_back(stop_task{.Task = Task, .Endpoint = Run.Endpoint});
}

bool task_desk::hasFreeSlot() const {
  const endpoint_report Report = Endpoint.getReport();
  return Report.State == endpoint_state::Serving &&
         UsedRoom < capacityOf(Report);
}

bool task_desk::mayRunBeside(const place_task &Placement) const {
  return AloneRuns == 0 &&
         (Placement.Crashes < AloneCrashes || Running.empty());
}

bool task_desk::hasResourcesFor(const place_task &Placement) const {
  const task_needs Needs = needsOf(Placement);
  const endpoint_report Report = Endpoint.getReport();
  return UsedRoom + roomFor(Report, Needs) <= capacityOf(Report) &&
         UsedMemoryBytes + Needs.MemoryBytes <= Report.MemoryBytes &&
         UsedAccelerators + Needs.Accelerators <= Report.Accelerators;
}

task_needs task_desk::needsOf(const place_task &Placement) const {
  task_needs Needs = Placement.Needs;
  if (const class_spec *Spec = findClass(Placement.Class)) {
    Needs.MemoryBytes =
        Needs.MemoryBytes > 0 ? Needs.MemoryBytes : Spec->MemoryBytes;
    Needs.Accelerators =
        Needs.Accelerators > 0 ? Needs.Accelerators : Spec->Accelerators;
  }
  return Needs;
}

const class_spec *task_desk::findClass(const std::string &Name) const {
  const auto Place = Configuration.Classes.find(Name);
  return Place == Configuration.Classes.end() ? nullptr : &Place->second;
}

void task_desk::giveBackQueued(const step &Step, not_started_reason Reason) {
  for (const task_id &Task : Queue.listTasks()) {
    Queue.remove(Task);
    refuse(Step, Task, Reason);
  }
}

void task_desk::recountRuns() {
  const endpoint_report Report = Endpoint.getReport();
  const bool Counts = Report.MilliCores > 0;
  if (Counts == CountsProcessor || capacityOf(Report) == 0) {
    return;
  }
  CountsProcessor = Counts;
  UsedRoom = 0;
  ClassRooms = {};
  for (auto &[Task, Run] : Running) {
    Run.Room = roomFor(Report, Run.Needs);
    UsedRoom += Run.Room;
    if (Options.ReportsClassRooms) {
      ClassRooms.add(Run.Class, Run.Room);
    }
  }
}

void task_desk::giveBackUnsupported(const step &Step) {
  const auto Unsupported = Queue.listTasks(
      [this](const queued_task &Each) { return !isSupported(Each.Placement); });
  for (const task_id &Task : Unsupported) {
    Queue.remove(Task);
    refuse(Step, Task, not_started_reason::Unsupported);
  }
}

void task_desk::endLease(const step &Step, const entry_peer &Peer) {
  const incarnation Entry = Peer.Id.Incarnation;
  for (const task_id &Task :
       Queue.listOlder(Entry, Step.Now - Options.EntryLease)) {
    Queue.remove(Task);
    refuse(Step, Task, not_started_reason::Withdrawn);
  }
  for (auto &[Task, Run] : Running) {
    if (Task.Job.Entry == Entry) {
      askToStop(Step, Task);
    }
  }
}

bool task_desk::hasTasks(incarnation Entry) const {
  const auto [Queued, Runs] = countTasks(Entry);
  return Queued > 0 || Runs > 0;
}

std::optional<instant> task_desk::getLeaseWake(const entry_peer &Peer,
                                               instant Now) const {
  if (Now < Peer.LeaseUntil) {
    return hasTasks(Peer.Id.Incarnation) ? std::optional(Peer.LeaseUntil)
                                         : std::nullopt;
  }
  const auto Oldest = Queue.findOldest(Peer.Id.Incarnation);
  return Oldest ? std::optional(*Oldest + Options.EntryLease) : std::nullopt;
}

void task_desk::stopOverdue(const step &Step) {
  while (!Overdue.empty() && Overdue.begin()->first <= Step.Now) {
    const task_id Task = Overdue.begin()->second;
    Overdue.erase(Overdue.begin());
    running_task &Run = Running.at(Task);
    Run.OverdueAt.reset();
    Run.Overdue = true;
    askToStop(Step, Task);
  }
}

std::optional<instant> task_desk::getNextWake() const {
  std::optional<instant> Next = Queue.getNextDeadline();
  if (!Overdue.empty()) {
    const instant First = Overdue.begin()->first;
    Next = Next ? std::min(*Next, First) : First;
  }
  return Next;
}

void task_desk::dropEntry(const step &Step, entry_peer &Peer) {
  for (const task_id &Task : Queue.listTasks(Peer.Id.Incarnation)) {
    Queue.remove(Task);
    refuse(Step, Task, not_started_reason::Withdrawn);
  }
  for (const task_id &Task : Peer.Ends.listTasks()) {
    Peer.Ends.remove(Task);
  }
}

void task_desk::refuse(const step &Step, const task_id &Task,
                       not_started_reason Reason) {
  finish(Step, Task, task_not_started{.Reason = Reason});
}

void task_desk::finish(const step &Step, const task_id &Task, task_end End,
                       duration RunTime, const std::string &Detail) {
  timeline_event Event = makeEvent(event_kind::TaskLost, Task);
  Event.Value = RunTime.count();
  if (const auto *Completed = std::get_if<task_completed>(&End)) {
    Event.Kind = event_kind::TaskEnded;
    Event.Digest = digest(Completed->Output.getBytes());
  } else if (const auto *Failed = std::get_if<task_failed>(&End)) {
    Event.Kind = event_kind::TaskFailed;
    Event.Reason = Failed->Reason;
  } else if (const auto *Refused = std::get_if<task_not_started>(&End)) {
    Event.Kind = event_kind::TaskNotStarted;
    Event.Code = toString(Refused->Reason);
    Event.Reason = Detail;
  } else if (const auto *Lost = std::get_if<task_lost>(&End)) {
    Event.Reason = Lost->Reason;
  } else if (const auto *Stopped = std::get_if<task_stopped>(&End)) {
    Event.Kind = event_kind::TaskStopped;
    Event.Reason = Stopped->Reason;
  }
  entry_peer *Peer = Entries.find(Task.Job.Entry);
  if (Peer != nullptr && Event.Kind == event_kind::TaskNotStarted) {
    Peer->History.remember(Task, task_memory::GivenBack);
  }
  Step.record(std::move(Event));
  if (Peer == nullptr || Peer->Gone) {
    return;
  }
  send(*Peer, task_ended{.Task = Task, .End = End});
  Peer->Ends.add(Task, std::move(End));
}

void task_desk::send(const entry_peer &Peer, peer_message Message) {
  if (!Peer.Link) {
    return;
  }
  if (link_state *Link = Links.find(*Peer.Link)) {
    Link->Unsent.push_back(std::move(Message));
  }
}

companion_load task_desk::refreshLoad() {
  companion_load Now{.Sequence = Load.Sequence,
                     .Running = static_cast<std::uint32_t>(Running.size()),
                     .Queued = Queue.getSize(),
                     .QueuedWork = Queue.getWork(),
                     .UsedRoom = UsedRoom,
                     .QueuedRoom = Queue.getRoom(),
                     .Slowness = Speed.getSlowness(),
                     .ClassRooms = ClassRooms.listGreatest()};
  if (Now != Load) {
    ++Now.Sequence;
    Load = Now;
  }
  return Load;
}

std::pair<std::uint32_t, std::uint32_t>
task_desk::countTasks(incarnation Entry) const {
  const auto Queued = Queue.listTasks(Entry).size();
  const auto Runs = std::ranges::count_if(Running, [Entry](const auto &Item) {
    return Item.first.Job.Entry == Entry;
  });
  return {static_cast<std::uint32_t>(Queued), static_cast<std::uint32_t>(Runs)};
}

} // namespace crocuswood::companion
