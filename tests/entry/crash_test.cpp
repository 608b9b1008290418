// Tasks under which endpoints crash.
#include "crash_memory.h"
#include "fake_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr link_id A{1};
constexpr link_id B{2};
const std::string Caller = "5c0e7a21d94b36f8";

options makeOptions() {
  options Options = entry_harness::defaults();
  Options.HeartbeatInterval = milliseconds(80);
  Options.SilenceLimit = seconds(60);
  Options.LossLimit = seconds(120);
  Options.GrantsLeases = true;
  return Options;
}

job_request makeJob(std::size_t Tasks = 1,
                    const std::string &CallerId = Caller) {
  job_request Job{.Class = "fast",
                  .Team = "acme",
                  .CallerId = CallerId,
                  .Repeatable = true};
  Job.Tasks.resize(Tasks);
  return Job;
}

crash_report makeReport(const std::string &RunName, std::uint32_t Index,
                        std::uint32_t Crashes) {
  return {.Tasks = {{.RunName = RunName,
                     .Index = Index,
                     .Class = "fast",
                     .Crashes = Crashes}}};
}

} // namespace

TEST_GROUP(Crash) {
  entry_harness Entry{makeOptions()};

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration(2)});
    Entry.connect(A, "runner-a");
    Entry.connect(B, "runner-b", 8, incarnation{2});
  }

  /// The endpoint of \p Link has crashed under \p Task.
  void crash(link_id Link, const task_id &Task, std::uint32_t Crashes) {
    Entry.receive(Link, {makeReport(Caller, Task.Index, Crashes)});
    Entry.end(Link, Task, task_stopped{.Reason = "The endpoint was lost."});
  }
};

// A deadly task crashed one endpoint after the other until its attempts were
// used up.
TEST(Crash, JobFailsAfterTwoCrashesAndOthersComplete) {
  const request_id Deadly = Entry.submit(makeJob(2));
  const request_id Good = Entry.submit(makeJob(1, "00aa00aa00aa00aa"));
  std::uint32_t Crashes = 0;
  std::uint32_t Starts = 0;
  for (int Round = 0; Round < 10; ++Round) {
    for (const link_id Link : {A, B}) {
      for (const place_task &Each : Entry.sent<place_task>(Link)) {
        if (Each.RunName == Caller && Each.Task.Index == 0) {
          CHECK_EQUAL(Crashes, Each.Crashes);
          Entry.clear();
          // The second crash under it alone gives it up.
          Crashes = Crashes == 0 ? 1 : FatalCrashes;
          ++Starts;
          crash(Link, Each.Task, Crashes);
        } else if (Each.RunName != Caller) {
          Entry.complete(Link, Each.Task);
        }
      }
    }
    Entry.pass(milliseconds(50));
  }
  CHECK_EQUAL(2U, Starts);
  CHECK_TRUE(Entry.mayHaveRun(Deadly, failure_code::TaskFailed));
  STRCMP_EQUAL("Endpoints crashed again and again under task 0, the last while "
               "it ran alone.",
               Entry.failureOf(Deadly)->Reason.c_str());
  CHECK_TRUE(Entry.isCompleted(Good));
}

// Each entry counted for itself, so a task moved on with every lost entry.
TEST(Crash, CrashesUnderOtherEntriesCount) {
  const request_id Request = Entry.submit(makeJob());
  Entry.receive(B, {makeReport(Caller, 0, FatalCrashes)});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::TaskFailed));
}

TEST(Crash, OtherTasksOfTheJobAreWithdrawn) {
  Entry.submit(makeJob(4));
  Entry.clear();
  Entry.receive(A, {makeReport(Caller, 1, FatalCrashes)});
  CHECK_EQUAL(4U, Entry.countEvents(event_kind::TaskWithdrawn));
}

// A job sent again after its entry was lost started its count from zero.
TEST(Crash, ResubmissionToANewEntryIsNotPlaced) {
  Entry.receive(A, {makeReport(Caller, 3, FatalCrashes)});
  const request_id Request = Entry.submit(makeJob(8));
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::TaskFailed));
  CHECK_EQUAL(0U, Entry.placed(A).size() + Entry.placed(B).size());
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::JobFailed));
  CHECK_EQUAL(0U, Entry.countEvents(event_kind::JobRefused));
}

TEST(Crash, KnownCrashesGoWithThePlacement) {
  Entry.receive(A, {makeReport(Caller, 0, 1)});
  Entry.submit(makeJob());
  auto Placed = Entry.sent<place_task>(A);
  const auto OnB = Entry.sent<place_task>(B);
  Placed.insert(Placed.end(), OnB.begin(), OnB.end());
  CHECK_EQUAL(1U, Placed.size());
  CHECK_EQUAL(1U, Placed.front().Crashes);
}

// Callers without an id of their own: endpoints know the job by its id.
TEST(Crash, JobWithoutACallersIdFails) {
  const request_id Request = Entry.submit(makeJob(1, ""));
  auto Placed = Entry.placed(A);
  const auto OnB = Entry.placed(B);
  Placed.insert(Placed.end(), OnB.begin(), OnB.end());
  Entry.receive(A, {makeReport(toString(Placed.front().Job), 0, FatalCrashes)});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::TaskFailed));
}

TEST(Crash, ReportOfAnUnknownTaskOfALiveJobChangesNothing) {
  const request_id Request = Entry.submit(makeJob(2));
  Entry.receive(A, {makeReport(Caller, 2, FatalCrashes)});
  POINTERS_EQUAL(nullptr, Entry.answerOf(Request));
}

// A companion that was lost together with its task is no crash of an endpoint.
TEST(Crash, LostCompanionsAreNotCounted) {
  const request_id Request = Entry.submit(makeJob());
  for (std::uint64_t Life = 3; Life < 6; ++Life) {
    const link_id Link = Entry.placed(A).empty() ? B : A;
    Entry.clear();
    Entry.handle(link_closed{.Link = Link, .Reason = "reset"});
    Entry.connect(Link, Link == A ? "runner-a" : "runner-b", 8,
                  incarnation{Life});
  }
  POINTERS_EQUAL(nullptr, Entry.answerOf(Request));
  for (const link_id Link : {A, B}) {
    for (const place_task &Each : Entry.sent<place_task>(Link)) {
      CHECK_EQUAL(0U, Each.Crashes);
    }
  }
}

// Two suspects on one endpoint: its crash gave up the harmless one, too.
TEST(Crash, CompanionGetsOneSuspectAtATime) {
  for (std::uint32_t Index = 0; Index < 4; ++Index) {
    Entry.receive(A, {makeReport(Caller, Index, 1)});
  }
  const request_id Suspects = Entry.submit(makeJob(4));
  CHECK_EQUAL(1U, Entry.placed(A).size());
  CHECK_EQUAL(1U, Entry.placed(B).size());
  const task_id First = Entry.placed(A).front();
  const task_id Second = Entry.placed(B).front();
  Entry.clear();
  Entry.complete(A, First);
  CHECK_EQUAL(1U, Entry.placed(A).size());
  CHECK_EQUAL(0U, Entry.placed(B).size());
  Entry.complete(B, Second);
  Entry.complete(A, Entry.placed(A).front());
  Entry.complete(B, Entry.placed(B).front());
  CHECK_TRUE(Entry.isCompleted(Suspects));
}

TEST(Crash, OthersDoNotWaitForSuspects) {
  for (std::uint32_t Index = 0; Index < 4; ++Index) {
    Entry.receive(A, {makeReport(Caller, Index, 1)});
  }
  Entry.submit(makeJob(4));
  Entry.clear();
  Entry.submit(makeJob(2, "00aa00aa00aa00aa"));
  CHECK_EQUAL(2U, Entry.placed(A).size() + Entry.placed(B).size());
}

// A companion tells of a crash when its endpoint is back, seconds later; until
// then the task crashed one endpoint after the other.
TEST(Crash, ThirdStartWaitsForNewsOfTheEndpointsThatFellSilent) {
  constexpr link_id C{3};
  Entry.connect(C, "runner-c", 8, incarnation{3});
  const request_id Request = Entry.submit(makeJob());
  std::vector<link_id> Fallen;
  for (int Round = 0; Round < 3; ++Round) {
    for (const link_id Link : {A, B, C}) {
      const auto Placed = Entry.placed(Link);
      if (Placed.empty()) {
        continue;
      }
      Entry.clear();
      Fallen.push_back(Link);
      Entry.receive(Link, {endpoint_report{.State = endpoint_state::Absent}});
      Entry.end(Link, Placed.back(), task_stopped{.Reason = "lease"});
      break;
    }
    Entry.pass(milliseconds(100));
  }
  CHECK_EQUAL(2U, Fallen.size());
  POINTERS_EQUAL(nullptr, Entry.answerOf(Request));
  // The first endpoint had not crashed.
  Entry.receive(Fallen.front(),
                {endpoint_report{.State = endpoint_state::Serving,
                                 .Classes = {"fast"},
                                 .Slots = 8}});
  Entry.pass(milliseconds(100));
  CHECK_EQUAL(1U, Entry.placed(A).size() + Entry.placed(B).size() +
                      Entry.placed(C).size());
}

TEST_GROUP(CrashMemory) {
  crash_memory Memory;
  instant Now{seconds(1000)};
};

TEST(CrashMemory, GreatestNumberHolds) {
  CHECK_TRUE(Memory.note(Caller, {.Index = 4, .Crashes = 2}, "runner-a", Now));
  CHECK_FALSE(Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-a", Now));
  CHECK_FALSE(Memory.note(Caller, {.Index = 4, .Crashes = 2}, "runner-a", Now));
  CHECK_EQUAL(2U, Memory.getCrashes(Caller, 4));
  CHECK_EQUAL(0U, Memory.getCrashes(Caller, 3));
}

// Endpoints that crash before any is back: none of the companions knew of the
// crashes of the others.
TEST(CrashMemory, CompanionsThatTellOfOneCrashEachAddUp) {
  CHECK_TRUE(Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-a", Now));
  CHECK_FALSE(Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-a", Now));
  CHECK_TRUE(Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-b", Now));
  CHECK_EQUAL(2U, Memory.getCrashes(Caller, 4));
}

TEST(CrashMemory, SharedCrashesAreNotFatal) {
  Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-a", Now);
  CHECK_FALSE(Memory.findFatal(Caller).has_value());
  Memory.note(Caller, {.Index = 4, .Crashes = AloneCrashes}, "runner-a", Now);
  Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-b", Now);
  Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-c", Now);
  Memory.note(Caller, {.Index = 4, .Crashes = 1}, "runner-d", Now);
  CHECK_FALSE(Memory.findFatal(Caller).has_value());
  Memory.note(Caller, {.Index = 4, .Crashes = FatalCrashes}, "runner-a", Now);
  CHECK_EQUAL(4U, Memory.findFatal(Caller)->Index);
}

// Reports of any number of tasks must not fill the memory.
TEST(CrashMemory, OldestTasksAreForgottenBeyondTheBound) {
  const auto Last = static_cast<std::uint32_t>(crash_memory::MaxTasks);
  for (std::uint32_t Index = 0; Index <= Last; ++Index) {
    Memory.note(Caller, {.Index = Index, .Crashes = 1}, "runner-a", Now);
  }
  CHECK_EQUAL(crash_memory::MaxTasks, Memory.getCount());
  CHECK_EQUAL(0U, Memory.getCrashes(Caller, 0));
  CHECK_EQUAL(1U, Memory.getCrashes(Caller, Last));
}

TEST(CrashMemory, CountsOutliveAResubmissionAndThenExpire) {
  Memory.note(Caller, {.Index = 0, .Crashes = 2}, "runner-a", Now);
  Memory.checkTimes(Now + seconds(60));
  CHECK_EQUAL(2U, Memory.getCrashes(Caller, 0));
  Memory.checkTimes(Now + crash_memory::MaxAge + seconds(1));
  CHECK_EQUAL(0U, Memory.getCount());
}

TEST(CrashMemory, ACrashKeepsATaskAndARepeatedReportDoesNot) {
  Memory.note(Caller, {.Index = 0, .Crashes = 1}, "runner-a", Now);
  Memory.note(Caller, {.Index = 1, .Crashes = 1}, "runner-a", Now);
  const instant Later = Now + crash_memory::MaxAge;
  Memory.note(Caller, {.Index = 0, .Crashes = 2}, "runner-a", Later);
  Memory.note(Caller, {.Index = 1, .Crashes = 1}, "runner-a", Later);
  Memory.checkTimes(Later + seconds(1));
  CHECK_EQUAL(2U, Memory.getCrashes(Caller, 0));
  CHECK_EQUAL(0U, Memory.getCrashes(Caller, 1));
}
