#include <crocuswood/timeline.h>

#include <algorithm>

namespace crocuswood::timeline {

hybrid_time hybrid_clock::next(std::int64_t WallMicroseconds) {
  if (WallMicroseconds > Last.WallMicroseconds) {
    Last = {.WallMicroseconds = WallMicroseconds, .Counter = 0};
    return Last;
  }
  ++Last.Counter;
  if (Last.Counter == 0) {
    // The counter has wrapped: the time must still grow.
    ++Last.WallMicroseconds;
  }
  return Last;
}

bool hybrid_clock::observe(const hybrid_time &Received,
                           std::int64_t WallMicroseconds, duration MaxAhead) {
  if (Received.WallMicroseconds > WallMicroseconds + MaxAhead.count()) {
    return false;
  }
  Last = std::max(Last, Received);
  return true;
}

} // namespace crocuswood::timeline
