#include <crocuswood/timeline.h>

namespace crocuswood::timeline {

namespace {

// Half of the delay from which an entry refuses jobs for want of processor
// time.
constexpr std::chrono::milliseconds SlowTurn{20};

} // namespace

void turn_watch::note(const char *Part, time_point Now) {
  const time_point::duration Taken = Now - LastEnd;
  LastEnd = Now;
  Total += Taken;
  if (Taken > Longest) {
    Longest = Taken;
    LongestPart = Part;
  }
}

std::optional<timeline_event> turn_watch::report() const {
  if (Total < SlowTurn) {
    return std::nullopt;
  }
  const auto Value =
      std::chrono::duration_cast<std::chrono::microseconds>(Total);
  return timeline_event{.Kind = event_kind::TurnSlow,
                        .Reason = std::string("most for ") + LongestPart,
                        .Value = Value.count()};
}

} // namespace crocuswood::timeline
