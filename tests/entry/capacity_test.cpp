// The room of endpoints changes while jobs wait and run.
#include "entry_harness.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr link_id A{1};
constexpr link_id B{2};
constexpr duration Grace = std::chrono::seconds(2);
constexpr duration Beat = std::chrono::milliseconds(300);

} // namespace

TEST_GROUP(EntryCapacity) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
    Entry.connect(A, "runner-a");
    setCores(A, 8'000);
  }
  void setCores(link_id Link, std::uint32_t MilliCores,
                std::uint64_t MemoryBytes = 8'000) {
    Entry.receive(Link, {endpoint_report{.State = endpoint_state::Serving,
                                         .Classes = {"fast", "slow", "sale"},
                                         .Slots = MilliCores > 0 ? 8U : 0U,
                                         .MemoryBytes = MemoryBytes,
                                         .MilliCores = MilliCores}});
  }
  request_id submit(const task_needs &Needs) {
    job_request Job{.Class = "slow", .Team = "acme"};
    Job.Tasks.resize(1);
    Job.Tasks[0].Input = payload("0");
    Job.Tasks[0].Needs = Needs;
    return Entry.submit(std::move(Job));
  }
  void pass(duration Span) {
    for (duration Passed{}; Passed < Span; Passed += Beat) {
      Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
      Entry.pass(Beat);
    }
  }
};

// Guards against a job that fits no endpoint any more, which would stay the
// most urgent of its class and hold back every job behind it.
TEST(EntryCapacity, AJobThatFitsNowhereDoesNotHoldBackItsClass) {
  submit({.MilliCores = 8'000});
  const request_id Large = submit({.MilliCores = 8'000});
  CHECK_EQUAL(1U, Entry.placed(A).size());
  setCores(A, 4'000);
  const request_id Small = submit({.MilliCores = 1'000});
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_EQUAL(2U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[1]);
  CHECK_TRUE(Entry.isCompleted(Small));
  CHECK_TRUE(Entry.answerOf(Large) == nullptr);
}

// Guards against callers who wait to the end for room that has gone.
TEST(EntryCapacity, AJobThatFitsNowhereForAWhileIsRefused) {
  submit({.MilliCores = 8'000});
  const request_id Large = submit({.MilliCores = 8'000});
  setCores(A, 4'000);
  Entry.complete(A, Entry.placed(A)[0]);
  pass(Grace + Beat);
  CHECK_TRUE(Entry.isNotRun(Large, failure_code::NoEndpoint));
}

TEST(EntryCapacity, AJobRunsWhenTheRoomComesBackInTime) {
  submit({.MilliCores = 8'000});
  const request_id Large = submit({.MilliCores = 8'000});
  setCores(A, 4'000);
  Entry.complete(A, Entry.placed(A)[0]);
  pass(Beat);
  setCores(A, 8'000);
  CHECK_EQUAL(2U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[1]);
  CHECK_TRUE(Entry.isCompleted(Large));
}

TEST(EntryCapacity, AJobThatFitsNowhereIsRefusedAtItsSubmission) {
  CHECK_TRUE(
      Entry.isNotRun(submit({.MilliCores = 9'000}), failure_code::NoEndpoint));
  CHECK_TRUE(Entry.isNotRun(submit({.MilliCores = 1, .MemoryBytes = 9'000}),
                            failure_code::NoEndpoint));
  CHECK_TRUE(
      Entry.isNotRun(submit({.Accelerators = 1}), failure_code::NoEndpoint));
  Entry.connect(B, "runner-b");
  setCores(B, 9'000);
  submit({.MilliCores = 9'000});
  CHECK_EQUAL(1U, Entry.placed(B).size());
}

// Guards against an endpoint without room that is taken for one that can run
// every class, so that jobs wait for it without end.
TEST(EntryCapacity, AnEndpointWithoutRoomRunsNoClass) {
  setCores(A, 0);
  const request_id Waiting = submit({.MilliCores = 1'000});
  CHECK_TRUE(Entry.placed(A).empty());
  pass(Grace + Beat);
  CHECK_TRUE(Entry.isNotRun(Waiting, failure_code::NoEndpoint));
  CHECK_TRUE(Entry.isNotRun(submit({}), failure_code::NoEndpoint));
  setCores(A, 8'000);
  submit({});
  CHECK_EQUAL(1U, Entry.placed(A).size());
}

// Guards against a task that an endpoint gave back while it was too small, and
// that never goes there again.
TEST(EntryCapacity, ATaskGivenBackAsTooLargeRunsWhenTheRoomComesBack) {
  const request_id Large = submit({.MilliCores = 8'000});
  setCores(A, 4'000);
  Entry.end(A, Entry.placed(A)[0],
            task_not_started{.Reason = not_started_reason::Unsupported});
  pass(Beat);
  setCores(A, 8'000);
  pass(Beat);
  CHECK_EQUAL(2U, Entry.placed(A).size());
  Entry.complete(A, Entry.placed(A)[1]);
  CHECK_TRUE(Entry.isCompleted(Large));
}

// Guards against a task that was given back and waits to the end, since an
// endpoint that is too small for it was never tried.
TEST(EntryCapacity, ATaskGivenBackThatFitsNowhereEndsItsJob) {
  Entry.connect(B, "runner-b");
  setCores(B, 4'000);
  const request_id Large = submit({.MilliCores = 8'000});
  setCores(A, 4'000);
  Entry.end(A, Entry.placed(A)[0],
            task_not_started{.Reason = not_started_reason::Unsupported});
  for (duration Passed{}; Passed < Grace + Beat; Passed += Beat) {
    Entry.receive(B, {companion_heartbeat{.ConfigurationRevision = 1}});
    pass(Beat);
  }
  CHECK_TRUE(Entry.isNotRun(Large, failure_code::NoEndpoint));
}

// Guards against jobs that are admitted by the room that there was.
TEST(EntryCapacity, AdmissionCountsTheSmallerRoomAndThenTheLargerOne) {
  // Without a limit on refusals, every job that would be late is refused.
  configuration Strict = entry_harness::defaultConfiguration(2);
  Strict.Classes["slow"].RefuseAtMost = 1;
  Entry.handle(configuration_read{Strict});
  const auto CountAccepted = [this] {
    std::size_t Accepted = 0;
    for (int Each = 0; Each < 400; ++Each) {
      Accepted += Entry.answerOf(submit({.MilliCores = 1'000})) == nullptr;
    }
    return Accepted;
  };
  const auto Drain = [this] {
    for (std::size_t Done = 0; Done < Entry.placed(A).size(); ++Done) {
      Entry.complete(A, Entry.placed(A)[Done]);
    }
    Entry.clear();
  };
  // The first runs teach the run time of the class.
  CountAccepted();
  Drain();
  pass(Beat);
  const std::size_t Before = CountAccepted();
  Drain();
  setCores(A, 1'000);
  pass(Beat);
  const std::size_t Shrunk = CountAccepted();
  Drain();
  setCores(A, 8'000);
  pass(Beat);
  const std::size_t Grown = CountAccepted();
  CHECK_TRUE(Shrunk * 2 < Before);
  CHECK_TRUE(Grown > Shrunk * 2);
}
