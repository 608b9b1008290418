#include <crocuswood/timeline.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace std::chrono_literals;

namespace {

using time_point = timeline::turn_watch::time_point;

} // namespace

TEST_GROUP(TurnWatch){};

// Guards against a process whose own work delays everything, without a line in
// its log that says so.
TEST(TurnWatch, ReportsASlowTurnWithItsLongestPart) {
  timeline::turn_watch Watch(time_point(1s));
  Watch.note("timed checks", time_point(1s + 25ms));
  Watch.note("messages", time_point(1s + 30ms));
  const auto Event = Watch.report();
  CHECK_TRUE(Event.has_value());
  CHECK_TRUE(Event->Kind == event_kind::TurnSlow);
  CHECK_EQUAL(30'000, Event->Value);
  CHECK_EQUAL(std::string("most for timed checks"), Event->Reason);
}

TEST(TurnWatch, SaysNothingOfAShortTurn) {
  timeline::turn_watch Watch(time_point(1s));
  Watch.note("messages", time_point(1s + 19ms));
  CHECK_FALSE(Watch.report().has_value());
}
