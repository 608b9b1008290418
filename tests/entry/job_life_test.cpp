#include "entry_harness.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr link_id A{1};
constexpr link_id B{2};

} // namespace

TEST_GROUP(JobLife) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
    Entry.connect(A, "runner-a");
  }
};

TEST(JobLife, WholeAnswerInTheOrderOfTheRequest) {
  const request_id Request = Entry.submit("fast", 3);
  const auto Tasks = Entry.placed(A);
  CHECK_EQUAL(3U, Tasks.size());
  Entry.complete(A, Tasks[2], "2");
  Entry.complete(A, Tasks[0], "0");
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  Entry.complete(A, Tasks[1], "1");
  CHECK_TRUE(Entry.isCompleted(Request));
  const auto &Results = std::get<job_results>(Entry.answerOf(Request)->Outcome);
  CHECK_TRUE(Results.Outputs ==
             (std::vector<payload>{payload("0"), payload("1"), payload("2")}));
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::JobCompleted));
}

TEST(JobLife, RequestsThatCantBeTaken) {
  CHECK_TRUE(Entry.isNotRun(Entry.submit("none"), failure_code::UnknownClass));
  CHECK_TRUE(Entry.isNotRun(Entry.submit("fast", 1, "", "none"),
                            failure_code::UnknownTeam));
  CHECK_TRUE(
      Entry.isNotRun(Entry.submit("fast", 0), failure_code::InvalidRequest));
  CHECK_TRUE(Entry.isNotRun(Entry.submit("fast", MaxTasksPerJob + 1),
                            failure_code::InvalidRequest));
  CHECK_TRUE(Entry.isNotRun(Entry.submit("sale"), failure_code::KeyRequired));
  CHECK_TRUE(Entry.isNotRun(Entry.submit({.Class = "fast",
                                          .Team = "acme",
                                          .Tasks = std::vector<task_request>(1),
                                          .Deadline = duration(-1)}),
                            failure_code::InvalidRequest));
  CHECK_TRUE(Entry.placed(A).empty());
}

TEST(JobLife, OneFailedTaskFailsTheJobAndWithdrawsTheRestTogether) {
  const request_id Request = Entry.submit("fast", 14);
  const auto Tasks = Entry.placed(A);
  CHECK_EQUAL(8U, Tasks.size());
  Entry.end(A, Tasks[3], task_failed{.Reason = "broken"});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::TaskFailed));
  CHECK_TRUE(Entry.failureOf(Request)->Task == 3U);
  const auto Withdrawals = Entry.sent<withdraw_tasks>(A);
  CHECK_EQUAL(1U, Withdrawals.size());
  CHECK_EQUAL(7U, Withdrawals.front().Tasks.size());
  CHECK_EQUAL(8U, Entry.placed(A).size());
}

TEST(JobLife, CancelledBeforeAnyPlacementHasNotRun) {
  Entry.submit("fast", 8);
  const request_id Waiting = Entry.submit("fast");
  Entry.handle(job_cancelled{.Request = Waiting});
  CHECK_TRUE(Entry.isNotRun(Waiting, failure_code::Cancelled));
}

TEST(JobLife, CancelledWithProofFromTheCompanionHasNotRun) {
  const request_id Request = Entry.submit("fast", 2);
  Entry.handle(job_cancelled{.Request = Request});
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  Entry.end(A, Entry.placed(A)[0], task_not_started{});
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  Entry.end(A, Entry.placed(A)[1], task_not_started{});
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::Cancelled));
}

TEST(JobLife, CancelledWithoutProofMayHaveRun) {
  const request_id Request = Entry.submit("fast");
  Entry.handle(job_cancelled{.Request = Request});
  Entry.pass(std::chrono::milliseconds(300));
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::Cancelled));
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::Cancelled));
}

TEST(JobLife, CancelledBeforeTheFlushIsNeverWritten) {
  Entry.handleOnly(
      job_submitted{.Request = request_id{77},
                    .Job = {.Class = "fast",
                            .Team = "acme",
                            .Tasks = std::vector<task_request>(2)}});
  Entry.handleOnly(job_cancelled{.Request = request_id{77}});
  Entry.flush();
  CHECK_TRUE(Entry.isNotRun(request_id{77}, failure_code::Cancelled));
  CHECK_TRUE(Entry.placed(A).empty());
  CHECK_EQUAL(0U, Entry.countEvents(event_kind::TaskPlaced));
}

TEST(JobLife, NobodyIsAnsweredAfterTheCallerHasGone) {
  const request_id Request = Entry.submit("fast");
  Entry.handle(job_cancelled{.Request = Request, .CallerGone = true});
  Entry.end(A, Entry.placed(A)[0], task_not_started{});
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::AnswerDropped));
}

TEST(JobLife, DeadlineOfAWaitingJob) {
  Entry.submit("slow", 8);
  const request_id Request =
      Entry.submit({.Class = "slow",
                    .Team = "acme",
                    .Tasks = std::vector<task_request>(1),
                    .Deadline = std::chrono::milliseconds(200)});
  Entry.pass(std::chrono::milliseconds(250));
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::DeadlineExceeded));
}

TEST(JobLife, DeadlineRidesWithThePlacement) {
  Entry.submit({.Class = "slow",
                .Team = "acme",
                .Tasks = std::vector<task_request>(1),
                .Deadline = std::chrono::milliseconds(200)});
  CHECK_TRUE(Entry.sent<place_task>(A)[0].Deadline ==
             duration(std::chrono::milliseconds(200)));
}

TEST(JobLife, GivenBackTasksGoElsewhere) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.connect(B, "runner-b");
  Entry.end(A, Task, task_not_started{.Reason = not_started_reason::Full});
  CHECK_TRUE(Entry.placed(B) == std::vector<task_id>{Task});
  Entry.complete(B, Task);
  CHECK_TRUE(Entry.isCompleted(Request));
}

// Guards against a caller whose job outlasts the time that a stopping process
// is given, and whose connection then ends without an answer.
TEST(JobLife, AStopAnswersEveryJobBeforeItsLimit) {
  options Options = entry_harness::defaults();
  Options.StopDelay = std::chrono::seconds(2);
  Options.StopLimit = std::chrono::seconds(5);
  Options.SilenceLimit = std::chrono::minutes(1);
  entry_harness Stopping(Options);
  Stopping.handle(configuration_read{entry_harness::defaultConfiguration()});
  Stopping.connect(A, "runner-a");
  const request_id Running = Stopping.submit("fast");
  Stopping.handle(stop_requested{});
  Stopping.pass(std::chrono::seconds(1));
  const request_id Later = Stopping.submit("fast", 12);
  Stopping.pass(std::chrono::milliseconds(3'900));
  CHECK_TRUE(Stopping.answerOf(Running) == nullptr);
  CHECK_TRUE(Stopping.answerOf(Later) == nullptr);
  CHECK_TRUE(Stopping.actions<stop_finished>().empty());
  Stopping.pass(std::chrono::milliseconds(600));
  CHECK_TRUE(Stopping.mayHaveRun(Running, failure_code::Stopping));
  CHECK_TRUE(Stopping.answerOf(Later) != nullptr);
  CHECK_EQUAL(1U, Stopping.actions<stop_finished>().size());
}

// Guards against a job that runs to its end within the limit and is failed.
TEST(JobLife, AStopLimitLeavesJobsThatEndBeforeItAlone) {
  options Options = entry_harness::defaults();
  Options.StopLimit = std::chrono::seconds(5);
  Options.SilenceLimit = std::chrono::minutes(1);
  entry_harness Stopping(Options);
  Stopping.handle(configuration_read{entry_harness::defaultConfiguration()});
  Stopping.connect(A, "runner-a");
  const request_id Request = Stopping.submit("fast");
  Stopping.handle(stop_requested{});
  Stopping.pass(std::chrono::milliseconds(4'500));
  Stopping.complete(A, Stopping.placed(A)[0]);
  CHECK_TRUE(Stopping.isCompleted(Request));
  CHECK_EQUAL(1U, Stopping.actions<stop_finished>().size());
}

TEST(JobLife, StopFinishesWhatWasAcceptedAndTakesNothingNew) {
  const request_id Request = Entry.submit("fast");
  Entry.handle(stop_requested{});
  CHECK_TRUE(Entry.sent<entry_heartbeat>(A).back().Stopping);
  CHECK_TRUE(Entry.isNotRun(Entry.submit("fast"), failure_code::Stopping));
  CHECK_TRUE(Entry.actions<stop_finished>().empty());
  Entry.complete(A, Entry.placed(A)[0]);
  CHECK_TRUE(Entry.isCompleted(Request));
  CHECK_EQUAL(1U, Entry.actions<stop_finished>().size());
}
