// The room of an endpoint changes while tasks run and wait.
#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

namespace {

endpoint_report makeWide() {
  return {.State = endpoint_state::Serving,
          .Classes = {"pivot-check"},
          .Slots = 8,
          .MemoryBytes = 8'000,
          .Accelerators = 4,
          .MilliCores = 8'000};
}

endpoint_report withCores(std::uint32_t MilliCores) {
  endpoint_report Offer = makeWide();
  Offer.MilliCores = MilliCores;
  return Offer;
}

endpoint_report noRoom() {
  endpoint_report Offer = makeWide();
  Offer.MilliCores = 0;
  Offer.Slots = 0;
  return Offer;
}

place_task makeSized(std::uint64_t Sequence, const task_needs &Needs) {
  place_task Placement = makePlacement(makeTask(Sequence));
  Placement.Needs = Needs;
  return Placement;
}

place_task makeCores(std::uint64_t Sequence, std::uint32_t MilliCores) {
  return makeSized(Sequence, {.MilliCores = MilliCores});
}

} // namespace

TEST_GROUP(CompanionCapacity) {
  void announce(const endpoint_report &Offer) {
    Driver.feed(
        endpoint_announced{{.Name = "runner-1",
                            .Address = {.Host = "127.0.0.1", .Port = 9000},
                            .Offer = Offer}});
  }
  void linkWide() {
    announce(makeWide());
    Link = Driver.linkA();
  }
  bool isStarted(std::uint64_t Sequence) const {
    for (const start_task &Start : Driver.list<start_task>()) {
      if (Start.Task == makeTask(Sequence)) {
        return true;
      }
    }
    return false;
  }
  bool isGivenBack(std::uint64_t Sequence, not_started_reason Reason) const {
    for (const task_ended &Ended : Driver.listSent<task_ended>(Link)) {
      const auto *Given = std::get_if<task_not_started>(&Ended.End);
      if (Ended.Task == makeTask(Sequence) && Given != nullptr) {
        return Given->Reason == Reason;
      }
    }
    return false;
  }

  driver Driver;
  link_id Link{};
};

// Guards against entries that go on placing by a room that has shrunk.
TEST(CompanionCapacity, EachSmallerSizeIsToldAtOnce) {
  linkWide();
  endpoint_report Offer = makeWide();
  const auto Check = [&] {
    Driver.clear();
    announce(Offer);
    const auto Told = Driver.listSent<endpoint_report>(Link);
    CHECK_EQUAL(1U, Told.size());
    CHECK_TRUE(Told.front() == Offer);
  };
  Offer.MilliCores = 4'000;
  Check();
  Offer.MemoryBytes = 4'000;
  Check();
  Offer.Accelerators = 1;
  Check();
}

// Guards against a start that brings an endpoint over a room that has shrunk
// while earlier runs, some of them being stopped, hold it.
TEST(CompanionCapacity, NothingStartsUntilEarlierRunsFitIntoTheSmallerRoom) {
  linkWide();
  Driver.receive(Link, makeCores(1, 3'000));
  Driver.receive(Link, makeCores(2, 3'000));
  Driver.receive(Link, withdraw_tasks{{makeTask(1)}});
  CHECK_EQUAL(1U, Driver.list<stop_task>().size());
  announce(withCores(4'000));
  Driver.clear();
  Driver.receive(Link, makeCores(3, 1'000));
  Driver.feed(run_completed{.Task = makeTask(2)});
  // The run that is being stopped leaves a quarter.
  CHECK_TRUE(isStarted(3));
  Driver.receive(Link, makeCores(4, 1'000));
  CHECK_FALSE(isStarted(4));
  Driver.feed(run_stopped{.Task = makeTask(1)});
  CHECK_TRUE(isStarted(4));
}

TEST(CompanionCapacity, SmallerMemoryAndAcceleratorsHoldStartsBack) {
  linkWide();
  const task_needs Needs{
      .MilliCores = 100, .MemoryBytes = 2'000, .Accelerators = 1};
  Driver.receive(Link, makeSized(1, Needs));
  endpoint_report Offer = makeWide();
  Offer.MemoryBytes = 3'000;
  announce(Offer);
  Driver.receive(Link, makeSized(2, Needs));
  CHECK_FALSE(isStarted(2));
  Offer.MemoryBytes = 4'000;
  Offer.Accelerators = 1;
  announce(Offer);
  CHECK_FALSE(isStarted(2));
  Offer.Accelerators = 2;
  announce(Offer);
  CHECK_TRUE(isStarted(2));
}

// Guards against a share of a slot that is counted by another room at its end
// than at its start.
TEST(CompanionCapacity, RunsKeepTheRoomThatTheyWereGiven) {
  linkWide();
  Driver.receive(Link, makeCores(1, 0));
  CHECK_EQUAL(1'000U, Driver.Core.getStatus().Load.UsedRoom);
  announce(withCores(4'000));
  CHECK_EQUAL(1'000U, Driver.Core.getStatus().Load.UsedRoom);
  Driver.receive(Link, makeCores(2, 0));
  CHECK_EQUAL(1'500U, Driver.Core.getStatus().Load.UsedRoom);
  announce(makeWide());
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(500U, Driver.Core.getStatus().Load.UsedRoom);
  Driver.feed(run_completed{.Task = makeTask(2)});
  CHECK_EQUAL(0U, Driver.Core.getStatus().Load.UsedRoom);
}

// Guards against a queued task that no longer fits at all, which would stay at
// the head of the queue and hold back every task behind it.
TEST(CompanionCapacity, TasksThatNoLongerFitAtAllAreGivenBackAtOnce) {
  linkWide();
  Driver.receive(Link, makeCores(1, 2'000));
  Driver.receive(Link, makeCores(2, 8'000));
  Driver.receive(Link, makeCores(3, 2'000));
  Driver.clear();
  announce(withCores(4'000));
  CHECK_TRUE(isGivenBack(2, not_started_reason::Unsupported));
  CHECK_TRUE(isStarted(3));
}

TEST(CompanionCapacity, TasksThatNoLongerFitAreGivenBackWithoutFreeRoom) {
  linkWide();
  const task_needs Large{.MilliCores = 1'000, .MemoryBytes = 6'000};
  const task_needs Equipped{.MilliCores = 1'000, .Accelerators = 4};
  Driver.receive(Link, makeCores(1, 8'000));
  Driver.receive(Link, makeSized(2, Large));
  Driver.receive(Link, makeSized(3, Equipped));
  endpoint_report Offer = makeWide();
  Offer.MemoryBytes = 4'000;
  announce(Offer);
  CHECK_TRUE(isGivenBack(2, not_started_reason::Unsupported));
  CHECK_FALSE(isGivenBack(3, not_started_reason::Unsupported));
  Offer.Accelerators = 1;
  announce(Offer);
  CHECK_TRUE(isGivenBack(3, not_started_reason::Unsupported));
}

// Guards against the same queue held back by a change of the configuration that
// lets a class need more than there is.
TEST(CompanionCapacity, TasksThatAChangedClassMakesTooLargeAreGivenBack) {
  linkWide();
  Driver.receive(Link, makeCores(1, 8'000));
  Driver.receive(Link, makeCores(2, 1'000));
  configuration Next{.Revision = 2};
  Next.Classes["pivot-check"] = {.Name = "pivot-check", .MemoryBytes = 9'000};
  Driver.feed(configuration_read{Next});
  CHECK_TRUE(isGivenBack(2, not_started_reason::Unsupported));
}

// Guards against small tasks that overtake a large one until its deadline.
TEST(CompanionCapacity, AHeadThatFitsOnceRunsEndIsNotOvertaken) {
  linkWide();
  Driver.receive(Link, makeCores(1, 4'000));
  Driver.receive(Link, makeCores(2, 2'000));
  announce(withCores(5'000));
  Driver.receive(Link, makeCores(3, 3'000));
  Driver.receive(Link, makeCores(4, 500));
  Driver.feed(run_completed{.Task = makeTask(2)});
  CHECK_FALSE(isStarted(3));
  CHECK_FALSE(isStarted(4));
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_TRUE(isStarted(3));
  CHECK_TRUE(isStarted(4));
}

// Guards against an endpoint without room that is taken for one without limit.
TEST(CompanionCapacity, WithoutRoomNothingIsTakenUntilItIsBack) {
  linkWide();
  Driver.receive(Link, makeCores(1, 8'000));
  Driver.receive(Link, makeCores(2, 1'000));
  announce(noRoom());
  CHECK_TRUE(isGivenBack(2, not_started_reason::Unsupported));
  Driver.receive(Link, makeCores(3, 0));
  CHECK_TRUE(isGivenBack(3, not_started_reason::Unsupported));
  announce(makeWide());
  Driver.receive(Link, makeCores(4, 1'000));
  CHECK_FALSE(isStarted(4));
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_TRUE(isStarted(4));
  CHECK_EQUAL(1'000U, Driver.Core.getStatus().Load.UsedRoom);
}

// Guards against rooms of slots and of processor that are added up when an
// endpoint changes from one to the other.
TEST(CompanionCapacity, RunsAreCountedAnewWhenProcessorCountsInsteadOfSlots) {
  endpoint_report Offer = withCores(0);
  announce(Offer);
  Link = Driver.linkA();
  Driver.receive(Link, makeCores(1, 3'000));
  Driver.receive(Link, makeCores(2, 3'000));
  CHECK_EQUAL(2'000U, Driver.Core.getStatus().Load.UsedRoom);
  Offer.MilliCores = 7'000;
  announce(Offer);
  CHECK_EQUAL(6'000U, Driver.Core.getStatus().Load.UsedRoom);
  Driver.receive(Link, makeCores(3, 3'000));
  CHECK_FALSE(isStarted(3));
  Offer.MilliCores = 0;
  announce(Offer);
  CHECK_EQUAL(3'000U, Driver.Core.getStatus().Load.UsedRoom);
  Driver.feed(run_completed{.Task = makeTask(1)});
  Driver.feed(run_completed{.Task = makeTask(2)});
  Driver.feed(run_completed{.Task = makeTask(3)});
  CHECK_EQUAL(0U, Driver.Core.getStatus().Load.UsedRoom);
}

// Guards against tasks that name no need and take no room at all where a share
// of a slot rounds down to nothing.
TEST(CompanionCapacity, ATaskWithoutNeedsTakesRoomOfTheSmallestEndpoint) {
  announce(withCores(5));
  Link = Driver.linkA();
  for (std::uint64_t Sequence = 1; Sequence <= 10; ++Sequence) {
    Driver.receive(Link, makeCores(Sequence, 0));
  }
  CHECK_EQUAL(5U, Driver.countStarts());
}
