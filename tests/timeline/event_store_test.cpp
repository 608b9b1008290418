#include <crocuswood/timeline.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

namespace {

timeline_event eventAt(std::int64_t Wall, const char *Process) {
  return {.Time = {.WallMicroseconds = Wall},
          .Process = {.Name = Process},
          .Job = job_id{.Sequence = static_cast<std::uint64_t>(Wall % 2)}};
}

} // namespace

TEST_GROUP(EventStore){};

TEST(EventStore, KeepsTheLatestInOrder) {
  timeline::event_store Store(3);
  for (std::int64_t Wall = 1; Wall <= 5; ++Wall) {
    Store.add(eventAt(Wall, "e"));
  }
  const auto Events = Store.getEvents();
  CHECK_EQUAL(3U, Events.size());
  CHECK_EQUAL(3, Events.front().Time.WallMicroseconds);
  CHECK_EQUAL(5, Events.back().Time.WallMicroseconds);
  CHECK_EQUAL(2U, Store.getDropped());
  CHECK_EQUAL(2U, Store.getEvents(job_id{.Sequence = 1}).size());
}

TEST_GROUP(HybridClock){};

TEST(HybridClock, GrowsWhenTheWallClockGoesBack) {
  timeline::hybrid_clock Clock;
  const hybrid_time First = Clock.next(100);
  const hybrid_time Second = Clock.next(40);
  CHECK_TRUE(First < Second);
  CHECK_TRUE(Second < Clock.next(101));
}

TEST(HybridClock, GrowsBeyondWhatItHasHeard) {
  timeline::hybrid_clock Clock;
  const hybrid_time Heard{.WallMicroseconds = 500, .Counter = 7};
  CHECK_TRUE(Clock.observe(Heard, 100));
  CHECK_TRUE(Heard < Clock.next(100));
}

TEST(HybridClock, IgnoresTimesTooFarAhead) {
  timeline::hybrid_clock Clock;
  CHECK_FALSE(Clock.observe({.WallMicroseconds = 61'000'001}, 1'000'000));
  CHECK_EQUAL(1'000'000, Clock.next(1'000'000).WallMicroseconds);
}

TEST_GROUP(Merge){};

TEST(Merge, OrdersByTimeThenByProcess) {
  const auto Merged = timeline::merge(
      {{eventAt(1, "b"), eventAt(3, "b")}, {eventAt(1, "a"), eventAt(2, "a")}});
  CHECK_EQUAL(std::string("a"), Merged[0].Process.Name);
  CHECK_EQUAL(std::string("b"), Merged[1].Process.Name);
  CHECK_EQUAL(2, Merged[2].Time.WallMicroseconds);
  CHECK_EQUAL(3, Merged[3].Time.WallMicroseconds);
}
