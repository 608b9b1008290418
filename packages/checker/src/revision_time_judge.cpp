#include "revision_time_judge.h"

#include <algorithm>
#include <map>
#include <string>

namespace crocuswood::checker {

namespace {

using event_pointers = std::vector<const timeline_event *>;

// Judges whether one process took up accepted revisions in time.
class process_revisions {
public:
  process_revisions(const event_list &Events, const event_pointers &Contacts,
                    duration Limit)
      : Events(Events), Contacts(Contacts), Limit(Limit),
        InForce(Events.getAll({event_kind::ConfigurationInForce})) {}

  bool isLate(const timeline_event &Accepted) const {
    const std::int64_t Deadline = getDeadline(Accepted);
    if (getTime(*Events.get().back()) <= Deadline) {
      return false; // It did not live that long, as far as is known.
    }
    const timeline_event *TakenUp = findInForce(Accepted);
    return TakenUp == nullptr || getTime(*TakenUp) > Deadline;
  }

private:
  static std::int64_t getTime(const timeline_event &Event) {
    return Event.Time.WallMicroseconds;
  }

  const timeline_event *findInForce(const timeline_event &Accepted) const {
    for (const timeline_event *Event : InForce) {
      if (Event->Value >= Accepted.Value) {
        return Event;
      }
    }
    return nullptr;
  }

  // Counted from the acceptance or the start of the process. For a process
  // that was paused or cut off meanwhile, which shows as a silent link, it is
  // counted from its last contact before it took the revision up.
  std::int64_t getDeadline(const timeline_event &Accepted) const {
    std::int64_t From =
        std::max(getTime(Accepted), getTime(*Events.get().front()));
    const timeline_event *TakenUp = findInForce(Accepted);
    const std::int64_t WindowStart = From - Limit.count();
    std::int64_t LastContact = From;
    bool WasSilent = false;
    for (const timeline_event *Contact : Contacts) {
      const std::int64_t At = getTime(*Contact);
      if (At < WindowStart || (TakenUp != nullptr && At > getTime(*TakenUp))) {
        continue;
      }
      WasSilent = WasSilent || Contact->Kind == event_kind::LinkSilent;
      LastContact = std::max(LastContact, At);
    }
    return (WasSilent ? LastContact : From) + Limit.count();
  }

  const event_list &Events;
  const event_pointers &Contacts;
  duration Limit;
  event_pointers InForce;
};

// Endpoints have no configuration and write nothing but their runs.
bool isDaemon(const event_list &Events) {
  return std::any_of(Events.get().begin(), Events.get().end(),
                     [](const timeline_event *Event) {
                       return Event->Kind != event_kind::EndpointRan &&
                              Event->Kind != event_kind::ProcessStarted &&
                              Event->Kind != event_kind::ProcessStopping &&
                              Event->Kind != event_kind::ProcessStopped;
                     });
}

// \returns the link events by the name of either side.
std::map<std::string, event_pointers>
collectContacts(const std::vector<timeline_event> &Events) {
  std::map<std::string, event_pointers> Contacts;
  for (const timeline_event &Event : Events) {
    if (Event.Kind == event_kind::LinkSilent ||
        Event.Kind == event_kind::LinkOpened ||
        Event.Kind == event_kind::LinkResumed) {
      Contacts[Event.Process.Name].push_back(&Event);
      Contacts[Event.Peer].push_back(&Event);
    }
  }
  return Contacts;
}

} // namespace

void revision_time_judge::judge(const history &History, const limits &Limits,
                                report &Report) const {
  event_list All;
  for (const timeline_event &Event : History.getEvents()) {
    All.add(Event);
  }
  const event_pointers Accepted =
      All.getAll({event_kind::ConfigurationAccepted});
  if (Accepted.empty()) {
    return;
  }
  auto Contacts = collectContacts(History.getEvents());
  for (const auto &[Process, Events] : History.getProcesses()) {
    if (!isDaemon(Events)) {
      continue;
    }
    const process_revisions Revisions(Events, Contacts[Process.Name],
                                      Limits.InForceLimit);
    for (const timeline_event *Event : Accepted) {
      if (Revisions.isLate(*Event)) {
        Report.add(Process.Name + " did not take up revision " +
                   std::to_string(Event->Value) +
                   " in time: " + toText(*Event) + ".");
      }
    }
  }
}

} // namespace crocuswood::checker
