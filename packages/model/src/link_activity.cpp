#include <crocuswood/model/link_activity.h>

#include <algorithm>

namespace crocuswood {

duration link_activity::getInterval(const link_intervals &Intervals) const {
  return Busy ? Intervals.Heartbeat
              : std::max(Intervals.Idle, Intervals.Heartbeat);
}

instant link_activity::getDeadline(const link_intervals &Intervals,
                                   instant HeardAt) const {
  if (Busy) {
    return std::max(HeardAt, BusySince) + Intervals.Silence;
  }
  // As many heartbeats may be missed as on a link with work.
  const duration Longer = getInterval(Intervals) - Intervals.Heartbeat;
  return HeardAt + Intervals.Silence +
         Longer * (Intervals.Silence / Intervals.Heartbeat);
}

} // namespace crocuswood
