#include "leaving_judge.h"

#include <map>
#include <string>

namespace crocuswood::checker {

namespace {

// Steps through the time line and keeps the endpoints that are leaving.
class leaving_endpoints {
public:
  leaving_endpoints(const history &History, duration Limit, report &Report)
      : History(History), Limit(Limit), Report(Report) {}

  void step(const timeline_event &Event) {
    switch (Event.Kind) {
    case event_kind::EndpointLeaving:
      // Leaving is counted from its first announcement.
      Leaving.emplace(Event.Process.Name, &Event);
      return;
    case event_kind::EndpointAnnounced:
    case event_kind::ProcessStarted:
      Leaving.erase(Event.Process.Name);
      return;
    case event_kind::TaskStarted:
      judgeStart(Event);
      return;
    case event_kind::TaskPlaced:
      judgePlacement(Event);
      return;
    default:
      return;
    }
  }

private:
  const timeline_event *findLeft(const std::string &Companion,
                                 const timeline_event &Event) const {
    const auto Position = Leaving.find(Companion);
    if (Position == Leaving.end()) {
      return nullptr;
    }
    const timeline_event *Left = Position->second;
    const std::int64_t Since =
        Event.Time.WallMicroseconds - Left->Time.WallMicroseconds;
    return Since > Limit.count() ? Left : nullptr;
  }

  void judgeStart(const timeline_event &Start) {
    const timeline_event *Left = findLeft(Start.Process.Name, Start);
    if (Left != nullptr && Left->Peer == Start.Peer) {
      addViolation(Start, "started", *Left);
    }
  }

  void judgePlacement(const timeline_event &Placed) {
    const timeline_event *Left = findLeft(Placed.Peer, Placed);
    if (Left != nullptr && wasTaken(Placed)) {
      addViolation(Placed, "was placed", *Left);
    }
  }

  // A companion that gives a task back has kept it from the endpoint.
  bool wasTaken(const timeline_event &Placed) const {
    if (!Placed.Job || !Placed.Task) {
      return false;
    }
    const event_list &Events =
        History.getJobs().at(*Placed.Job).Tasks.at(*Placed.Task);
    for (const timeline_event *Event :
         Events.getAll({event_kind::TaskQueued, event_kind::TaskNotStarted})) {
      if (Event->Process.Name == Placed.Peer && Event->Time >= Placed.Time) {
        return Event->Kind == event_kind::TaskQueued;
      }
    }
    return false;
  }

  void addViolation(const timeline_event &Event, const std::string &Verb,
                    const timeline_event &Left) {
    if (Event.Job && Event.Task) {
      Report.add(toText(*Event.Job, *Event.Task) + " " + Verb +
                 " on endpoint " + Left.Peer + ", which was leaving: " +
                 toText(Left) + ", " + toText(Event) + ".");
    }
  }

  const history &History;
  duration Limit;
  report &Report;
  std::map<std::string, const timeline_event *> Leaving; // By companion.
};

} // namespace

void leaving_judge::judge(const history &History, const limits &Limits,
                          report &Report) const {
  leaving_endpoints Endpoints(History, Limits.LeavingLimit, Report);
  for (const timeline_event &Event : History.getEvents()) {
    Endpoints.step(Event);
  }
}

} // namespace crocuswood::checker
