#include <crocuswood/model.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using std::chrono::milliseconds;

namespace {

constexpr link_intervals Intervals{.Heartbeat = milliseconds(100),
                                   .Idle = milliseconds(400),
                                   .Silence = milliseconds(300)};
constexpr instant Start{milliseconds(10'000)};

} // namespace

TEST_GROUP(LinkActivity){};

TEST(LinkActivity, IdleLinksAreQuietAndMayBeQuietForAsManyHeartbeats) {
  const link_activity Activity;
  CHECK_TRUE(Activity.getInterval(Intervals) == Intervals.Idle);
  CHECK_TRUE(Activity.getDeadline(Intervals, Start) ==
             Start + milliseconds(1'200));
}

TEST(LinkActivity, WorkOnALinkShortensItsIntervals) {
  link_activity Activity;
  Activity.note(true, Start);
  CHECK_TRUE(Activity.getInterval(Intervals) == Intervals.Heartbeat);
  // The peer learns of the work only now.
  CHECK_TRUE(Activity.getDeadline(Intervals, Start - milliseconds(390)) ==
             Start + Intervals.Silence);
  Activity.note(true, Start + milliseconds(50));
  CHECK_TRUE(Activity.getDeadline(Intervals, Start + milliseconds(60)) ==
             Start + milliseconds(360));
  Activity.note(false, Start + milliseconds(100));
  CHECK_FALSE(Activity.isBusy());
}

TEST(LinkActivity, WithoutAnIdleIntervalThereIsNoDifference) {
  constexpr link_intervals Same{.Heartbeat = milliseconds(100),
                                .Silence = milliseconds(300)};
  const link_activity Activity;
  CHECK_TRUE(Activity.getInterval(Same) == Same.Heartbeat);
  CHECK_TRUE(Activity.getDeadline(Same, Start) == Start + Same.Silence);
}
