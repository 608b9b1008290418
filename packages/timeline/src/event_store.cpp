#include <crocuswood/timeline.h>

#include <algorithm>
#include <utility>

namespace crocuswood::timeline {

event_store::event_store(std::size_t MaxEvents)
    : MaxEvents(std::max<std::size_t>(MaxEvents, 1)) {}

void event_store::add(timeline_event Event) {
  if (Ring.size() < MaxEvents) {
    Ring.push_back(std::move(Event));
    return;
  }
  Ring[Oldest] = std::move(Event);
  Oldest = Oldest + 1 == MaxEvents ? 0 : Oldest + 1;
  ++Dropped;
}

std::vector<timeline_event>
event_store::getEvents(std::optional<job_id> Job) const {
  std::vector<timeline_event> Events;
  if (!Job) {
    Events.reserve(Ring.size());
  }
  for (std::size_t Offset = 0; Offset < Ring.size(); ++Offset) {
    const timeline_event &Event = Ring[(Oldest + Offset) % Ring.size()];
    if (!Job || Event.Job == Job) {
      Events.push_back(Event);
    }
  }
  return Events;
}

} // namespace crocuswood::timeline
