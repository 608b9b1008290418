// Jobs that may run again, and endpoints that hang, slow down or are lost.
#include "fake_fleet.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr link_id A{1};
constexpr link_id B{2};
constexpr duration LossLimit = milliseconds(800);

options makeOptions() {
  options Options = entry_harness::defaults();
  Options.HeartbeatInterval = milliseconds(80);
  Options.SilenceLimit = milliseconds(240);
  Options.LossLimit = LossLimit;
  Options.GrantsLeases = true;
  return Options;
}

job_request makeJob(std::size_t Tasks = 1, const std::string &CallerId = "") {
  job_request Job{.Class = "fast",
                  .Team = "acme",
                  .CallerId = CallerId,
                  .Repeatable = true};
  Job.Tasks.resize(Tasks);
  return Job;
}

configuration makeConfiguration() {
  configuration Configuration = entry_harness::defaultConfiguration(2);
  Configuration.Classes["fast"].MaxAttempts = 2;
  Configuration.Classes["fast"].UsefulTargets = 3;
  return Configuration;
}

} // namespace

TEST_GROUP(Repeat) {
  entry_harness Entry{makeOptions()};

  void setup() override {
    Entry.handle(configuration_read{makeConfiguration()});
    Entry.connect(A, "runner-a");
    Entry.connect(B, "runner-b", 8, incarnation{2});
  }

  link_id linkOf(const task_id &Task) {
    const auto OnA = Entry.placed(A);
    return std::find(OnA.begin(), OnA.end(), Task) != OnA.end() ? A : B;
  }
  static link_id otherThan(link_id Link) { return Link == A ? B : A; }
  task_id firstTask() {
    const auto OnA = Entry.placed(A);
    return OnA.empty() ? Entry.placed(B).front() : OnA.front();
  }
};

TEST(Repeat, AStoppedTaskRunsElsewhereWithAGreaterAttempt) {
  const request_id Request = Entry.submit(makeJob());
  const task_id Task = firstTask();
  const link_id First = linkOf(Task);
  Entry.end(First, Task, task_stopped{.Reason = "its lease ended"});
  const auto Again = Entry.sent<place_task>(otherThan(First));
  CHECK_EQUAL(1U, Again.size());
  CHECK_EQUAL(2U, Again.front().Attempt);
  Entry.complete(otherThan(First), Task);
  CHECK_TRUE(Entry.isCompleted(Request));
}

TEST(Repeat, FailuresCountAgainstTheAttemptsAndStopsDoNot) {
  const request_id Request = Entry.submit(makeJob());
  const task_id Task = firstTask();
  const link_id First = linkOf(Task);
  Entry.connect(link_id{3}, "runner-c", 8, incarnation{3});
  Entry.end(First, Task, task_stopped{.Reason = "its lease ended"});
  const link_id Second =
      Entry.placed(link_id{3}).empty() ? otherThan(First) : link_id{3};
  Entry.end(Second, Task, task_failed{.Reason = "jammed"});
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  const link_id Third = Second == link_id{3} ? otherThan(First) : link_id{3};
  CHECK_EQUAL(1U, Entry.placed(Third).size());
  Entry.end(Third, Task, task_failed{.Reason = "jammed"});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::TaskFailed));
}

TEST(Repeat, AJobThatMayNotRunAgainFailsWithItsStoppedTask) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = firstTask();
  Entry.end(linkOf(Task), Task, task_stopped{.Reason = "its lease ended"});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::EndpointLost));
}

TEST(Repeat, ALostCompanionsTaskWaitsUntilNoLeaseCanBeLeft) {
  Entry.submit(makeJob());
  const task_id Task = firstTask();
  const link_id First = linkOf(Task);
  const link_id Other = otherThan(First);
  // The companion asks for a lease, gets it, and is never heard of again.
  Entry.receive(First, {lease_request{.At = seconds(1)}});
  Entry.pass(milliseconds(100));
  CHECK_FALSE(Entry.sent<lease_grant>(First).empty());
  const auto KeepOther = [&](duration Span) {
    for (duration Passed{}; Passed < Span; Passed += milliseconds(50)) {
      Entry.receive(Other, {companion_heartbeat{.ConfigurationRevision = 2},
                            lease_request{.At = seconds(2)}});
      Entry.pass(milliseconds(50));
    }
  };
  KeepOther(LossLimit - milliseconds(200));
  CHECK_TRUE(Entry.placed(Other).empty());
  KeepOther(milliseconds(300));
  CHECK_EQUAL(1U, Entry.placed(Other).size());
}

TEST(Repeat, AJobThatArrivesAgainTakesOverTheAnswer) {
  const request_id First = Entry.submit(makeJob(1, "5c0e7a21d94b36f8"));
  const request_id Second = Entry.submit(makeJob(1, "5c0e7a21d94b36f8"));
  CHECK_TRUE(Entry.mayHaveRun(First, failure_code::Superseded));
  CHECK_EQUAL(1U, Entry.placed(A).size() + Entry.placed(B).size());
  const task_id Task = firstTask();
  Entry.complete(linkOf(Task), Task);
  CHECK_TRUE(Entry.isCompleted(Second));
}

TEST(Repeat, AJobIsNotStartedWhileItsEarlierRunIsBeingStopped) {
  const request_id First = Entry.submit(makeJob(1, "5c0e7a21d94b36f8"));
  Entry.handle(job_cancelled{.Request = First, .CallerGone = true});
  const request_id Second = Entry.submit(makeJob(1, "5c0e7a21d94b36f8"));
  CHECK_TRUE(Entry.isNotRun(Second, failure_code::Overloaded));
}

TEST_GROUP(SlowEndpoint) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{makeConfiguration()});
  }
};

TEST(SlowEndpoint, RunLimitsFollowWhatWasLearned) {
  fake_fleet Fleet(Entry, 2, 8, [](std::size_t, const std::string &) {
    return fake_fleet::run{.RunTime = milliseconds(60)};
  });
  for (int Each = 0; Each < 200; ++Each) {
    Entry.submit(makeJob());
    Fleet.pass(milliseconds(20));
  }
  Entry.submit(makeJob());
  const auto OnA = Entry.sent<place_task>(A);
  const auto OnB = Entry.sent<place_task>(B);
  const auto &Last = OnA.empty() ? OnB.back() : OnA.back();
  CHECK_TRUE(Last.RunLimit.has_value());
  CHECK_TRUE(*Last.RunLimit >= milliseconds(120));
  CHECK_TRUE(*Last.RunLimit <= milliseconds(180));
}

// The pattern: one of four endpoints works six times as long as the others,
// and there is room everywhere.
TEST(SlowEndpoint, GetsNextToNothingWhileOthersHaveRoom) {
  fake_fleet Fleet(Entry, 4, 8, [](std::size_t Companion, const std::string &) {
    return fake_fleet::run{.RunTime = milliseconds(Companion == 0 ? 360 : 60)};
  });
  const auto Submit = [&](int Jobs) {
    for (int Each = 0; Each < Jobs; ++Each) {
      Entry.submit(makeJob());
      Fleet.pass(milliseconds(15));
    }
  };
  Submit(100);
  const std::uint32_t Before = Fleet.getStarted(0);
  constexpr int Jobs = 400;
  Submit(Jobs);
  CHECK_TRUE(Fleet.getStarts().size() >= Jobs);
  CHECK_TRUE(Fleet.getStarted(0) - Before < Jobs / 20);
}

// The pattern: the others are nearly full, so that an endpoint which has hung
// looks free each time its hung runs are stopped.
TEST(SlowEndpoint, AHungEndpointIsSetAsideThoughOthersAreNearlyFull) {
  bool Hangs = false;
  fake_fleet Fleet(
      Entry, 4, 8, [&](std::size_t Companion, const std::string &) {
        const bool IsHung = Companion == 0 && Hangs;
        return fake_fleet::run{.RunTime = IsHung ? duration(seconds(60))
                                                 : duration(milliseconds(60))};
      });
  const auto Submit = [&](int Jobs) {
    for (int Each = 0; Each < Jobs; ++Each) {
      Entry.submit(makeJob());
      Fleet.pass(milliseconds(3));
    }
  };
  Submit(500);
  Hangs = true;
  const std::uint32_t Before = Fleet.getStarted(0);
  Submit(1'000);
  // What ran when it hung, and the tasks until the first of them was stopped.
  CHECK_TRUE(Fleet.getStarted(0) - Before <= 16);
}

// The pattern: an endpoint hangs for longer than the target, and jobs that
// were taken as on time find that they no longer are.
TEST(SlowEndpoint, AJobThatCanStillBeOnTimeGoesBeforeOneThatIsLate) {
  constexpr link_id Link{1};
  Entry.connect(Link, "runner-a", 1);
  Entry.submit(makeJob());
  const task_id Running = Entry.placed(Link).front();
  const request_id Late = Entry.submit(makeJob());
  for (int Each = 0; Each < 12; ++Each) {
    Entry.receive(Link, {companion_heartbeat{.ConfigurationRevision = 2}});
    Entry.pass(milliseconds(50));
  }
  const request_id Fresh = Entry.submit(makeJob());
  Entry.complete(Link, Running);
  Entry.pass(milliseconds(50));
  CHECK_EQUAL(2U, Entry.placed(Link).size());
  Entry.complete(Link, Entry.placed(Link).back());
  CHECK_TRUE(Entry.isCompleted(Fresh));
  CHECK_TRUE(Entry.answerOf(Late) == nullptr);
}

// The pattern: a burst of twice what the endpoints can do. Without giving way,
// every job would be a little late.
TEST(SlowEndpoint, InABurstJobsOnTimeGoBeforeThoseThatAreLate) {
  fake_fleet Fleet(Entry, 2, 4, [](std::size_t, const std::string &) {
    return fake_fleet::run{.RunTime = milliseconds(60)};
  });
  std::vector<std::pair<request_id, instant>> Jobs;
  for (int Each = 0; Each < 1'000; ++Each) {
    Jobs.emplace_back(Entry.submit(makeJob()), Entry.Now);
    Fleet.pass(milliseconds(4));
  }
  Fleet.pass(seconds(2));
  std::size_t Answered = 0;
  for (const auto &[Request, At] : Jobs) {
    Answered += Entry.answerOf(Request) != nullptr ? 1 : 0;
  }
  CHECK_EQUAL(Jobs.size(), Answered);
  const auto Status = Entry.Core.getStatus().Classes.at("fast");
  // Eight slots do 133 of the 250 jobs a second. Most of those are on time.
  CHECK_TRUE(Status.Completed >= 450);
  CHECK_TRUE(Status.Missed * 2 < Status.Completed);
}
