// What the supervisor tells for the time line, so that the causes of an early
// end can be told apart.
#include "supervisor_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::runs_test;
using std::chrono::milliseconds;

TEST_GROUP_BASE(SupervisorEvents, supervisor_fixture){
    template <class Event> const Event &
    findFirst() const {for (const companion::event &Each
                            : Told){
        if (const auto *Found = std::get_if<Event>(&Each)){return *Found;
}
}
FAIL("no such event");
static const Event None;
return None;
}
}
;

TEST(SupervisorEvents, ANewLifeIsToldWithBothLivesAndTheRunsThatItEnded) {
  Runner.setRunTime(std::chrono::seconds(30));
  settle();
  const std::string First = Runner.getLife();
  start(0);
  start(1);
  live(milliseconds(20));
  Told.clear();
  crash();
  const auto &Restart = findFirst<companion::endpoint_restarted>();
  CHECK_EQUAL(First, Restart.From);
  CHECK_EQUAL(Runner.getLife(), Restart.To);
  CHECK_EQUAL(2U, Restart.EndedRuns);
}

TEST(SupervisorEvents, AnUnknownRunIsToldOnce) {
  Runner.setRunTime(std::chrono::seconds(30));
  Runner.setStopTime(milliseconds(200));
  settle();
  Runner.start({.Run = {.Job = "other", .Task = 3, .Attempt = 2},
                .Life = Runner.getLife(),
                .Lease = std::chrono::seconds(1),
                .Fence = AllAsked.back().Fence});
  live(milliseconds(150));
  CHECK_EQUAL(1U, count<companion::unknown_runs>());
  const auto &Unknown = findFirst<companion::unknown_runs>();
  CHECK_EQUAL(1U, Unknown.Count);
  STRCMP_EQUAL("task 3 of other, attempt 2", Unknown.First.c_str());
}

TEST(SupervisorEvents, AStopWithoutEffectWithholdsTheLease) {
  Runner.setRunTime(std::chrono::seconds(30));
  settle();
  start();
  live(milliseconds(20));
  LosesStops = true;
  stop();
  live(Options.StopLimit - milliseconds(20));
  CHECK_EQUAL(0U, count<companion::lease_withheld>());
  live(milliseconds(100));
  CHECK_EQUAL(1U, count<companion::lease_withheld>());
  const auto &Withheld = findFirst<companion::lease_withheld>();
  CHECK_EQUAL(1U, Withheld.Runs);
  STRCMP_EQUAL("a stop has had no effect", Withheld.Reason.c_str());
}

TEST(SupervisorEvents, SilenceWithholdsTheLease) {
  Runner.setRunTime(std::chrono::seconds(30));
  settle();
  start();
  live(milliseconds(20));
  LosesLists = true;
  live(Options.SilenceLimit + milliseconds(150));
  CHECK_EQUAL(1U, count<companion::lease_withheld>());
  STRCMP_EQUAL("the endpoint is silent",
               findFirst<companion::lease_withheld>().Reason.c_str());
}
