#include <crocuswood/timeline.h>

#include <utility>

namespace crocuswood::timeline {

std::optional<duration> pause_watch::note(instant Now) {
  const instant Before = std::exchange(LatestTurn, Now).value_or(Now);
  const duration Gap = Now - Before;
  return Gap > LongestGap ? std::optional(Gap) : std::nullopt;
}

} // namespace crocuswood::timeline
