#include "fake_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr link_id A{1};
constexpr link_id B{2};
constexpr std::size_t Companions = 10;
constexpr std::uint32_t Slots = 8;

fake_fleet::run runFast(std::size_t, const std::string &) { return {}; }

// \returns the most starts within any span of the given length.
std::size_t mostStarts(const std::vector<instant> &Starts, duration Span) {
  std::size_t Most = 0;
  std::size_t First = 0;
  for (std::size_t Last = 0; Last < Starts.size(); ++Last) {
    while (Starts[Last] - Starts[First] >= Span) {
      ++First;
    }
    Most = std::max(Most, Last - First + 1);
  }
  return Most;
}

} // namespace

TEST_GROUP(Load) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
  }

  class_status fast() const {
    return Entry.Core.getStatus().Classes.at("fast");
  }
  // Submits one-task jobs evenly, as many as the given number in each step of
  // ten milliseconds.
  void submitEvenly(fake_fleet & Fleet, duration Span, int JobsPerStep,
                    const std::string &Class = "fast",
                    const std::string &Team = "acme") {
    const instant End = Entry.Now + Span;
    while (Entry.Now < End) {
      for (int Each = 0; Each < JobsPerStep; ++Each) {
        Entry.submit(Class, 1, "", Team);
      }
      Fleet.pass(std::chrono::milliseconds(10));
    }
  }
};

TEST(Load, MostFreeSlotsFirst) {
  Entry.connect(A, "runner-a", 2);
  Entry.connect(B, "runner-b", 8, incarnation{2});
  Entry.submit("fast", 6);
  CHECK_TRUE(Entry.placed(A).empty());
  CHECK_EQUAL(6U, Entry.placed(B).size());
}

TEST(Load, LoadOfOtherEntriesCounts) {
  Entry.connect(A, "runner-a");
  Entry.connect(B, "runner-b", 8, incarnation{2});
  Entry.receive(
      A, {load_report{
             .Load = {.Sequence = 1, .Running = 7, .UsedRoom = 7 * SlotRoom}}});
  Entry.submit("fast", 4);
  CHECK_TRUE(Entry.placed(A).empty());
  CHECK_EQUAL(4U, Entry.placed(B).size());
}

TEST(Load, TheMoreUrgentClassGoesFirst) {
  Entry.connect(A, "runner-a", 1);
  Entry.submit("slow");
  Entry.submit("slow");
  const request_id Urgent = Entry.submit("fast");
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_EQUAL(2U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[1]);
  CHECK_TRUE(Entry.isCompleted(Urgent));
}

TEST(Load, SmallJobsPassBigOnes) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  Entry.submit("fast", MaxTasksPerJob);
  Fleet.pass(std::chrono::milliseconds(300));
  const instant Submitted = Entry.Now;
  const request_id Small = Entry.submit("fast");
  while (Entry.answerOf(Small) == nullptr) {
    Fleet.pass(std::chrono::milliseconds(1));
  }
  CHECK_TRUE(Entry.isCompleted(Small));
  CHECK_TRUE(Entry.Now - Submitted < std::chrono::milliseconds(250));
}

TEST(Load, NothingIsRefusedBelowCapacity) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  submitEvenly(Fleet, std::chrono::seconds(20), 7);
  CHECK_EQUAL(0U, fast().Refused);
  CHECK_EQUAL(0U, fast().Missed);
}

TEST(Load, OverloadIsRefusedOrLateAndTheRestMeetsItsTarget) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  submitEvenly(Fleet, std::chrono::seconds(30), 12);
  const class_status Status = fast();
  constexpr std::uint64_t Capacity = 30ULL * Companions * Slots * 10;
  const std::uint64_t Submitted = Status.Accepted + Status.Refused;
  const std::uint64_t Good = Status.Completed - Status.Missed;
  // Two thirds fit; refusals and lateness take the rest.
  CHECK_TRUE(Good * 100 > Submitted * 60);
  CHECK_TRUE(Status.Completed * 100 > Capacity * 97);
  CHECK_TRUE(Status.Refused > 0);
}

TEST(Load, BudgetOfRefusalsHoldsForShortOverload) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  submitEvenly(Fleet, std::chrono::seconds(20), 7);
  submitEvenly(Fleet, std::chrono::seconds(3), 16);
  submitEvenly(Fleet, std::chrono::seconds(10), 4);
  const class_status Status = fast();
  const std::uint64_t Submitted = Status.Accepted + Status.Refused;
  CHECK_TRUE(Status.Refused > 0);
  CHECK_TRUE(Status.Refused * 10 <= Submitted);
}

// Most jobs of the most urgent class were refused while long, less urgent tasks
// queued at all companions, although those start urgent tasks first.
TEST(Load, AnOverloadOfLessUrgentWorkLeavesUrgentJobsOnTime) {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["slow"].Priority = 1;
  Configuration.Classes["fast"].Quantile = 0.95;
  Entry.handle(configuration_read{Configuration});
  int Runs = 0;
  const auto Run = [&Runs](std::size_t, const std::string &Class) {
    // Slow tasks take 0.5 to 1.5 s and ask for a third more than there is.
    const int Slow = 500 + 100 * (Runs++ % 11);
    return fake_fleet::run{
        .RunTime = std::chrono::milliseconds(Class == "slow" ? Slow : 60)};
  };
  fake_fleet Fleet(Entry, Companions, Slots, Run);
  const instant End = Entry.Now + std::chrono::seconds(20);
  while (Entry.Now < End) {
    Entry.submit("slow", 1);
    Entry.submit("fast", 1);
    Fleet.pass(std::chrono::milliseconds(10));
  }
  CHECK_EQUAL(0U, fast().Refused);
  CHECK_TRUE(fast().Missed * 20 <= fast().Accepted);
}

// With long queues of less urgent tasks everywhere, urgent ones waited at the
// entry.
TEST(Load, UrgentTasksQueueBehindLessUrgentOnes) {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["slow"].Priority = 1;
  Entry.handle(configuration_read{Configuration});
  Entry.connect(A, "runner-a", 2);
  Entry.receive(A, {load_report{.Load = {.Sequence = 1,
                                         .Running = 2,
                                         .Queued = 4,
                                         .UsedRoom = 2 * SlotRoom,
                                         .QueuedRoom = 4 * SlotRoom}}});
  Entry.submit("slow", 8);
  CHECK_TRUE(Entry.placed(A).empty());
  Entry.submit("fast", 2);
  CHECK_EQUAL(2U, Entry.placed(A).size());
}

// After a burst, late tasks filled the queues of companions ahead of tasks
// which could still meet their targets.
TEST(Load, LateTasksTakeFreeRoomOnly) {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["fast"].UsefulTargets = 10;
  Entry.handle(configuration_read{Configuration});
  Entry.connect(A, "runner-a", 1);
  Entry.submit("fast", 1);
  const companion_load Full{
      .Sequence = 1, .Running = 5, .UsedRoom = 5 * SlotRoom};
  Entry.receive(A, {load_report{.Load = Full}});
  Entry.submit("fast", 8);
  Entry.submit("fast", 8);
  Entry.pass(Configuration.Classes["fast"].AnswerWithin * 2);
  CHECK_EQUAL(1U, Entry.placed(A).size());
  // One task runs and four of other entries are queued no longer.
  Entry.receive(
      A, {load_report{
             .Load = {.Sequence = 2, .Running = 1, .UsedRoom = SlotRoom}}});
  Entry.pass(std::chrono::milliseconds(100));
  CHECK_EQUAL(1U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_EQUAL(2U, Entry.placed(A).size());
}

TEST(Load, QuotaPacesStartsAndRefusesWhatWouldWaitTooLong) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  submitEvenly(Fleet, std::chrono::seconds(10), 1, "slow", "capped");
  const auto &Starts = Fleet.getStarts();
  CHECK_TRUE(Starts.size() >= 95);
  CHECK_TRUE(mostStarts(Starts, std::chrono::seconds(2)) <= 21);
  CHECK_TRUE(Entry.Core.getStatus().Classes.at("slow").Refused > 500);
}

TEST(Load, QuotaIsSplitOverLiveEntries) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  Fleet.setEntries(2);
  Fleet.pass(std::chrono::seconds(1));
  submitEvenly(Fleet, std::chrono::seconds(10), 1, "slow", "capped");
  const std::size_t Shared = Fleet.getStarts().size();
  CHECK_TRUE(Shared >= 45 && Shared <= 52);
  Fleet.setEntries(1);
  submitEvenly(Fleet, std::chrono::seconds(10), 1, "slow", "capped");
  CHECK_TRUE(Fleet.getStarts().size() - Shared >= 90);
}

TEST(Load, OtherTeamsPassATeamWithoutStarts) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  Entry.submit("slow", 20, "", "capped");
  const request_id Other = Entry.submit("slow");
  Fleet.pass(std::chrono::milliseconds(150));
  CHECK_TRUE(Entry.isCompleted(Other));
}

TEST(Load, JobThatFitsNowhereIsRefusedAfterAShortGrace) {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["huge"] = {.Name = "huge",
                                   .AnswerWithin = std::chrono::seconds(1),
                                   .MemoryBytes = 1'000'000};
  Entry.handle(configuration_read{Configuration});
  Entry.connect(A, "runner-a");
  const request_id Request = Entry.submit("huge");
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  for (int Each = 0; Each < 10; ++Each) {
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 2}});
    Entry.pass(std::chrono::milliseconds(300));
  }
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::NoEndpoint));
  CHECK_TRUE(Entry.isNotRun(Entry.submit("huge"), failure_code::NoEndpoint));
}

TEST(Load, MemoryIsNotPromisedTwice) {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["fast"].MemoryBytes = 400;
  Entry.handle(configuration_read{Configuration});
  Entry.connect(A, "runner-a");
  Entry.receive(A, {endpoint_report{.State = endpoint_state::Serving,
                                    .Classes = {"fast"},
                                    .Slots = 8,
                                    .MemoryBytes = 1000}});
  Entry.submit("fast", 4);
  CHECK_EQUAL(2U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_EQUAL(3U, Entry.placed(A).size());
}

TEST(Load, RetriesStayWithinTheirBudget) {
  // Every companion gives everything back.
  for (std::uint64_t Each = 1; Each <= 12; ++Each) {
    Entry.connect(link_id{Each}, "runner-" + std::to_string(Each), 200,
                  incarnation{Each});
  }
  Entry.submit("slow", 1300);
  for (int Round = 0; Round < 4; ++Round) {
    for (std::uint64_t Link = 1; Link <= 12; ++Link) {
      const auto Tasks = Entry.placed(link_id{Link});
      for (const task_id &Task : Tasks) {
        Entry.end(link_id{Link}, Task,
                  task_not_started{.Reason = not_started_reason::Full});
      }
    }
  }
  const status Status = Entry.Core.getStatus();
  CHECK_TRUE(Status.SentMessages < 1300 + 1300 / 10 + 256 + 400);
}

TEST(Load, TaskThatEveryCompanionGaveBackEndsItsJob) {
  Entry.connect(A, "runner-a");
  const request_id Request = Entry.submit("slow");
  Entry.end(A, Entry.placed(A)[0],
            task_not_started{.Reason = not_started_reason::Full});
  for (int Each = 0; Each < 10; ++Each) {
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
    Entry.pass(std::chrono::milliseconds(300));
  }
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::NoEndpoint));
  CHECK_EQUAL(1U, Entry.placed(A).size());
}

TEST(Load, EveryJobEndsUnderLastingOverload) {
  fake_fleet Fleet(Entry, Companions, Slots, runFast);
  submitEvenly(Fleet, std::chrono::seconds(8), 16);
  std::vector<request_id> Requests;
  for (int Each = 0; Each < 50; ++Each) {
    Requests.push_back(Entry.submit("fast", 3));
    submitEvenly(Fleet, std::chrono::milliseconds(20), 16);
  }
  submitEvenly(Fleet, std::chrono::seconds(7), 16);
  for (const request_id Request : Requests) {
    CHECK_TRUE(Entry.answerOf(Request) != nullptr);
  }
}

TEST(Load, EveryPolicyServes) {
  for (const policy_kind Kind :
       {policy_kind::Random, policy_kind::RoundRobin,
        policy_kind::LeastOutstanding, policy_kind::TwoChoices}) {
    options Options = entry_harness::defaults();
    Options.Policy = Kind;
    entry_harness Other(Options);
    Other.handle(configuration_read{entry_harness::defaultConfiguration()});
    fake_fleet Fleet(Other, 3, 2, runFast);
    const request_id Request = Other.submit("slow", 40);
    Fleet.pass(std::chrono::seconds(3));
    CHECK_TRUE(Other.isCompleted(Request));
  }
}
