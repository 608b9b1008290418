#include "recorder.h"

#include <utility>

namespace crocuswood::daemon {

recorder::recorder(process_id Self, const clock_port &Clock)
    : Self(std::move(Self)), Clock(Clock) {}

void recorder::record(timeline_event Event) {
  Event.Time = stamp();
  Event.Process = Self;
  Events.push_back(std::move(Event));
}

hybrid_time recorder::stamp() { return Hybrid.next(Clock.wallMicroseconds()); }

void recorder::observe(const hybrid_time &Received) {
  Hybrid.observe(Received, Clock.wallMicroseconds());
}

std::vector<timeline_event> recorder::takeEvents() {
  return std::exchange(Events, {});
}

} // namespace crocuswood::daemon
