#include "endpoint_monitor.h"

namespace crocuswood::companion {

bool endpoint_monitor::announce(const step &Step,
                                const endpoint_announcement &Announcement) {
  const bool IsOther = Announcement.Name != Name;
  if (IsOther && Offer.State == endpoint_state::Serving &&
      Announcement.Offer.State != endpoint_state::Serving) {
    // A predecessor that leaves says nothing about its successor.
    return false;
  }
  const endpoint_report Before = getReport();
  LastHeard = Step.Now;
  Name = Announcement.Name;
  Life = Announcement.Life;
  Address = Announcement.Address;
  Offer = Announcement.Offer;
  if (getReport() == Before) {
    return false;
  }
  timeline_event Event = makeEvent(Offer.State == endpoint_state::Serving
                                       ? event_kind::EndpointAnnounced
                                       : event_kind::EndpointLeaving,
                                   Name);
  Event.Value = Offer.Slots;
  Step.record(std::move(Event));
  return true;
}

bool endpoint_monitor::checkSilence(const step &Step) {
  if (Step.Now - LastHeard < AnnouncementLimit) {
    return false;
  }
  return suspend(Step, "the endpoint fell silent");
}

bool endpoint_monitor::suspend(const step &Step, const std::string &Reason) {
  if (Offer.State == endpoint_state::Absent) {
    return false;
  }
  const endpoint_report Before = getReport();
  Offer.State = endpoint_state::Absent;
  timeline_event Event = makeEvent(event_kind::EndpointGone, Name);
  Event.Reason = Reason;
  Step.record(std::move(Event));
  return getReport() != Before;
}

bool endpoint_monitor::leave() {
  const endpoint_report Before = getReport();
  Stopping = true;
  return getReport() != Before;
}

bool endpoint_monitor::setEvacuated(bool Now) {
  const endpoint_report Before = getReport();
  Evacuated = Now;
  return getReport() != Before;
}

endpoint_report endpoint_monitor::getReport() const {
  endpoint_report Report = Offer;
  if ((Stopping || Evacuated) && Report.State == endpoint_state::Serving) {
    Report.State = endpoint_state::Leaving;
  }
  return Report;
}

std::optional<instant> endpoint_monitor::getNextWake() const {
  if (Offer.State == endpoint_state::Absent) {
    return std::nullopt;
  }
  return LastHeard + AnnouncementLimit;
}

} // namespace crocuswood::companion
