#include "stop_judge.h"

#include <algorithm>

namespace crocuswood::checker {

namespace {

// Judges what one process had at hand when it was stopped as planned.
class stopped_process {
public:
  stopped_process(const history &History, const process_id &Process,
                  const event_list &Events, report &Report)
      : History(History), Process(Process), Events(Events), Report(Report) {}

  void judge() {
    const timeline_event *Stopping = Events.find(event_kind::ProcessStopping);
    if (Stopping == nullptr || !Events.has(event_kind::ProcessStopped)) {
      return; // It was not stopped as planned, or killed on the way.
    }
    judgeJobs(*Stopping);
    judgeTasks();
  }

private:
  // An entry ends what it has accepted.
  void judgeJobs(const timeline_event &Stopping) {
    for (const timeline_event *Failed :
         Events.getAll({event_kind::JobFailed})) {
      if (Failed->Code == toString(failure_code::Stopping)) {
        Report.add("the planned stop of " + Process.Name + " cut off job " +
                   toString(*Failed->Job) + ": " + toText(Stopping) + ", " +
                   toText(*Failed) + ".");
      }
    }
  }

  // A companion lets started tasks end.
  void judgeTasks() {
    for (const timeline_event *Started :
         Events.getAll({event_kind::TaskStarted})) {
      if (Started->Job && Started->Task && !hasEnd(*Started)) {
        Report.add(toText(*Started->Job, *Started->Task) +
                   " was cut off by the planned stop of " + Process.Name +
                   ": " + toText(*Started) + ".");
      }
    }
  }

  bool hasEnd(const timeline_event &Started) const {
    const auto Starts = tasksOf(Started).getStarts();
    if (std::find(Starts.begin(), Starts.end(), &Started) == Starts.end()) {
      return true; // It had not reached the endpoint and was given back.
    }
    const auto Ends = tasksOf(Started).getAll(
        {event_kind::TaskEnded, event_kind::TaskFailed, event_kind::TaskLost,
         event_kind::TaskStopped});
    return std::any_of(
        Ends.begin(), Ends.end(),
        [&](const timeline_event *End) { return End->Process == Process; });
  }

  const event_list &tasksOf(const timeline_event &Event) const {
    return History.getJobs().at(*Event.Job).Tasks.at(*Event.Task);
  }

  const history &History;
  const process_id &Process;
  const event_list &Events;
  report &Report;
};

// Judges that a companion hands every end over before it goes.
class handed_over_ends {
public:
  handed_over_ends(const history &History, report &Report)
      : History(History), Report(Report) {}

  void judge() {
    for (const timeline_event &Event : History.getEvents()) {
      if (Event.Kind == event_kind::TaskUncertain && Event.Job && Event.Task) {
        judgeUncertain(Event);
      }
    }
  }

private:
  void judgeUncertain(const timeline_event &Uncertain) {
    const timeline_event *Placed = findPlacement(Uncertain);
    if (Placed == nullptr) {
      return;
    }
    for (const auto &[Process, Events] : History.getProcesses()) {
      if (Process.Name == Uncertain.Peer &&
          hadAtItsStop(Events, *Placed, Uncertain)) {
        Report.add(toText(*Uncertain.Job, *Uncertain.Task) +
                   " was lost by the planned stop of " + Process.Name + ": " +
                   toText(*Placed) + ", " + toText(Uncertain) + ".");
      }
    }
  }

  // \returns the last placement on the peer before it became uncertain.
  const timeline_event *findPlacement(const timeline_event &Uncertain) const {
    const event_list &Events =
        History.getJobs().at(*Uncertain.Job).Tasks.at(*Uncertain.Task);
    const timeline_event *Last = nullptr;
    for (const timeline_event *Placed :
         Events.getAll({event_kind::TaskPlaced})) {
      if (Placed->Peer == Uncertain.Peer && Placed->Time < Uncertain.Time) {
        Last = Placed;
      }
    }
    return Last;
  }

  static bool hadAtItsStop(const event_list &Companion,
                           const timeline_event &Placed,
                           const timeline_event &Uncertain) {
    const timeline_event *Stopping =
        Companion.find(event_kind::ProcessStopping);
    const timeline_event *Stopped = Companion.find(event_kind::ProcessStopped);
    if (Stopping == nullptr || Stopped == nullptr) {
      return false;
    }
    const bool PlacedInItsLife = Companion.get().front()->Time < Placed.Time &&
                                 Placed.Time < Stopped->Time &&
                                 Stopping->Time < Uncertain.Time;
    return PlacedInItsLife && !lostTouch(Companion, Uncertain.Process.Name);
  }

  // An entry that is silent to the end can't fetch what is kept for it.
  static bool lostTouch(const event_list &Companion, const std::string &Entry) {
    bool Silent = false;
    for (const timeline_event *Event :
         Companion.getAll({event_kind::LinkSilent, event_kind::LinkOpened,
                           event_kind::LinkResumed})) {
      if (Event->Peer == Entry) {
        Silent = Event->Kind == event_kind::LinkSilent;
      }
    }
    return Silent;
  }

  const history &History;
  report &Report;
};

} // namespace

void stop_judge::judge(const history &History, const limits & /*Limits*/,
                       report &Report) const {
  for (const auto &[Process, Events] : History.getProcesses()) {
    stopped_process(History, Process, Events, Report).judge();
  }
  handed_over_ends(History, Report).judge();
}

} // namespace crocuswood::checker
