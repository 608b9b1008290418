#include "overload_guard.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

// A job waits for its turn twice, when it arrives and when it ends. The
// shortest target on the sites leaves 96 ms for all waits.
constexpr duration LagLimit = std::chrono::milliseconds(40);
// Shorter lags, as after a burst, are bridged by refusals alone.
constexpr duration BridgedTime = std::chrono::milliseconds(500);
// The sites' balancer looks every second and needs two looks. Callers that
// come back at once would only move the overload to and fro.
constexpr duration ReturnTime = std::chrono::seconds(4);

} // namespace

void overload_guard::note(duration Lag, instant Now) {
  // A single late turn, as after a suspension, tells nothing of the load.
  Refuses = std::min(Lag, Previous) > LagLimit;
  Previous = Lag;
  if (Refuses) {
    LateSince = LateSince.value_or(Now);
    LateUntil = Now;
    SendsAway = SendsAway || Now - *LateSince >= BridgedTime;
    return;
  }
  if (SendsAway && Now - LateUntil < ReturnTime) {
    return;
  }
  if (Now - LateUntil >= BridgedTime) {
    LateSince.reset();
    SendsAway = false;
  }
}

} // namespace crocuswood::entry
