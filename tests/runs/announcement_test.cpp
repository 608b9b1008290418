// Which announcements count for the endpoint beside this process.
#include "supervisor_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::runs_test;
using std::chrono::milliseconds;

namespace {

companion::endpoint_announcement makeAnnouncement(const std::string &Name,
                                                  const std::string &Life,
                                                  std::uint64_t Sequence,
                                                  std::uint32_t MilliCores) {
  return {.Name = Name,
          .Life = Life,
          .Address = {.Host = "10.0.0.9", .Port = 80},
          .Offer = {.State = endpoint_state::Serving,
                    .Classes = {"s"},
                    .Slots = 8,
                    .MilliCores = MilliCores},
          .Sequence = Sequence};
}

} // namespace

TEST_GROUP(Announcements) {
  /// \returns whether the announcement counts.
  bool take(const std::string &Name, const std::string &Life,
            std::uint64_t Sequence, std::uint32_t MilliCores = 4'000) {
    return std::holds_alternative<companion::endpoint_announcement>(
        Filter.take(makeAnnouncement(Name, Life, Sequence, MilliCores)));
  }
  std::uint32_t getCores() const {
    return Filter.getLatest()->Offer.MilliCores;
  }

  runs::announcement_filter Filter;
};

// Guards against a heartbeat that was held up and tells of room that has gone.
TEST(Announcements, AnOlderOneOfTheSameLifeChangesNothing) {
  Filter.noteListed("7");
  CHECK_TRUE(take("i-1", "7", 3, 4'000));
  CHECK_FALSE(take("i-1", "7", 2, 8'000));
  CHECK_EQUAL(4'000U, getCores());
  CHECK_TRUE(take("i-1", "7", 4, 8'000));
  CHECK_EQUAL(8'000U, getCores());
}

// Guards against a heartbeat of an endpoint that has crashed, delivered after
// its successor's, which would bring back its room and end the successor's
// runs.
TEST(Announcements, OneOfAnEarlierLifeChangesNothing) {
  Filter.noteListed("7");
  CHECK_TRUE(take("i-1", "7", 90, 8'000));
  CHECK_FALSE(take("i-2", "900", 1, 4'000));
  Filter.noteListed("900");
  CHECK_FALSE(take("i-1", "7", 91, 8'000));
  CHECK_FALSE(take("i-2", "7", 92, 8'000));
  CHECK_EQUAL(4'000U, getCores());
}

// Guards against an endpoint that is never taken since the time of day went
// back before it started.
TEST(Announcements, ASuccessorWithAnEarlierTimeCountsOnceItIsListed) {
  Filter.noteListed("9000");
  CHECK_TRUE(take("i-1", "9000", 90, 8'000));
  CHECK_FALSE(take("i-1", "7000", 1, 4'000));
  Filter.noteListed("7000");
  CHECK_EQUAL(4'000U, getCores());
  CHECK_TRUE(take("i-1", "7000", 2, 2'000));
  CHECK_EQUAL(2'000U, getCores());
}

// Guards against the heartbeat of another endpoint, which would name the
// endpoint that orders are meant for.
TEST(Announcements, OneOfAnotherLifeChangesNothingHoweverLate) {
  Filter.noteListed("7");
  CHECK_TRUE(take("i-1", "7", 1));
  CHECK_FALSE(take("i-2", "9", 50));
  CHECK_FALSE(take("i-1", "", 51));
  STRCMP_EQUAL("i-1", Filter.getLatest()->Name.c_str());
  CHECK_TRUE(take("i-1", "7", 2));
}

// Guards against a copy of the endpoint's own heartbeat under other words.
TEST(Announcements, OneThatContradictsItsLifeChangesNothing) {
  Filter.noteListed("7");
  CHECK_TRUE(take("i-1", "7", 1));
  CHECK_FALSE(take("i-2", "7", 2));
  auto Odd = makeAnnouncement("i-1", "7", 50, 4'000);
  Odd.Offer.Classes = {"not-named-here"};
  CHECK_TRUE(std::holds_alternative<std::string>(Filter.take(Odd)));
  CHECK_TRUE(take("i-1", "7", 2));
}

TEST(Announcements, OneBeforeAnyListingCountsOnceItsLifeIsListed) {
  CHECK_FALSE(take("i-2", "9", 1));
  CHECK_FALSE(take("i-1", "7", 1));
  CHECK_TRUE(Filter.getLatest() == nullptr);
  Filter.noteListed("7");
  STRCMP_EQUAL("i-1", Filter.getLatest()->Name.c_str());
}

TEST(Announcements, ManyOfOtherLivesAreHeldInBounds) {
  for (std::uint64_t Life = 100; Life < 10'000; ++Life) {
    CHECK_FALSE(take("i-2", std::to_string(Life), 1));
  }
  Filter.noteListed("100");
  CHECK_TRUE(Filter.getLatest() == nullptr);
  Filter.noteListed("9999");
  CHECK_TRUE(Filter.getLatest() != nullptr);
}

TEST(Announcements, OnlyTheEndpointItselfLeaves) {
  Filter.noteListed("7");
  CHECK_TRUE(take("i-1", "7", 1));
  CHECK_TRUE(std::holds_alternative<std::string>(Filter.takeLeave("i-2")));
  CHECK_TRUE(Filter.getLatest()->Offer.State == endpoint_state::Serving);
  Filter.takeLeave("i-1");
  CHECK_TRUE(Filter.getLatest()->Offer.State == endpoint_state::Absent);
}

TEST_GROUP_BASE(ForeignAnnouncements, supervisor_fixture){
    void takeForeign(const std::string &Name, const std::string &Life){
        Supervisor.takeAnnouncement(makeAnnouncement(Name, Life, 1'000, 8'000));
deliver();
}
}
;

// Guards against two runs of one task: a heartbeat of another writer ended all
// runs for the companion while they went on.
TEST(ForeignAnnouncements, OneOfAnotherLifeEndsNoRun) {
  Runner.setRunTime(std::chrono::seconds(30));
  settle();
  start();
  live(milliseconds(20));
  takeForeign("i-2", "9");
  takeForeign("runner-1", "");
  live(std::chrono::seconds(2));
  CHECK_EQUAL(0U, count<companion::run_stopped>());
  CHECK_EQUAL(0U, count<companion::endpoint_crashed>());
  CHECK_EQUAL(0U, Stops);
  CHECK_EQUAL(1U, Runner.getActive().size());
}

TEST(ForeignAnnouncements, OrdersNameTheEndpointThatLists) {
  settle();
  takeForeign("i-2", "9");
  Supervisor.start(Now, {.Task = makeTask(), .RunName = "job", .Attempt = 1});
  Supervisor.stop(Now, makeTask());
  const auto Steps = Supervisor.takeSteps();
  const auto &Start = std::get<runs::send_start>(Steps.at(Steps.size() - 2));
  const auto &Stop = std::get<runs::send_stop>(Steps.back());
  STRCMP_EQUAL("runner-1", Start.Order.Instance.c_str());
  STRCMP_EQUAL("runner-1", Stop.Order.Instance.c_str());
}

// Guards against work for a new life whose room is not known, after a restart
// so short that no listing failed.
TEST(ForeignAnnouncements, ANewLifeGetsNoWorkBeforeItHasAnnouncedItself) {
  settle();
  Told.clear();
  Runner.restart();
  pass(milliseconds(1));
  answerLists();
  CHECK_EQUAL(1U, count<companion::endpoint_silent>());
  start();
  CHECK_EQUAL(1U, count<companion::run_refused>());
  beat();
  CHECK_EQUAL(1U, count<companion::endpoint_announced>());
  start(1);
  CHECK_EQUAL(1U, Runner.getActive().size());
}

// Guards against work that was meant for the room of an earlier life: the ends
// of the runs that a restart took along free their room before the new life
// is known.
TEST(ForeignAnnouncements, ANewLifeIsSuspendedBeforeTheEndsOfTheEarlierOne) {
  Runner.setRunTime(std::chrono::seconds(30));
  settle();
  start();
  live(milliseconds(20));
  Told.clear();
  Runner.restart();
  beat();
  answerLists();
  std::vector<std::string> Order;
  for (const companion::event &Each : Told) {
    if (std::holds_alternative<companion::endpoint_silent>(Each)) {
      Order.emplace_back("silent");
    } else if (std::holds_alternative<companion::run_stopped>(Each)) {
      Order.emplace_back("stopped");
    } else if (std::holds_alternative<companion::endpoint_announced>(Each)) {
      Order.emplace_back("announced");
    }
  }
  CHECK_TRUE(Order ==
             std::vector<std::string>({"silent", "stopped", "announced"}));
}

TEST(ForeignAnnouncements, AStartThatWasMeantForAnEarlierLifeIsRefused) {
  settle();
  const std::string Earlier = Runner.getLife();
  crash();
  Supervisor.start(
      Now,
      {.Task = makeTask(), .RunName = "job", .Attempt = 1, .Life = Earlier});
  deliver();
  CHECK_EQUAL(1U, count<companion::run_refused>());
  CHECK_EQUAL(0U, Runner.getActive().size());
}

// Guards against crashes that are not counted: a late leave of an earlier life
// under the same name would make the next crash a planned end.
TEST(ForeignAnnouncements, ALifeThatGoesOnServingHasNotLeft) {
  settle();
  Supervisor.takeLeave("runner-1");
  deliver();
  live(milliseconds(50));
  start();
  crash();
  CHECK_EQUAL(1U, findCrash().size());
}
