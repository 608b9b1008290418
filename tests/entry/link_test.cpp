#include "entry_harness.h"

#include <utility>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr link_id A{1};
constexpr link_id A2{2};
constexpr link_id B{3};
constexpr link_id A3{4};

options makeLeased() {
  options Options = entry_harness::defaults();
  Options.GrantsLeases = true;
  return Options;
}

} // namespace

TEST_GROUP(Links) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
    Entry.connect(A, "runner-a");
  }
};

TEST(Links, HelloIsAnsweredAndConfigurationPushed) {
  CHECK_EQUAL(1U, Entry.sent<entry_hello>(A).size());
  CHECK_TRUE(Entry.sent<configuration_push>(A).empty());
  Entry.handle(configuration_read{entry_harness::defaultConfiguration(5)});
  Entry.connect(B, "runner-b");
  Entry.pass(ConfigurationPushSpread);
  CHECK_EQUAL(1U, Entry.sent<configuration_push>(A).size());
  CHECK_EQUAL(1U, Entry.sent<configuration_push>(B).size());
  CHECK_EQUAL(5U, Entry.sent<configuration_push>(B)[0].Configuration.Revision);
}

// Guards against links that fall silent, and stay so after a restart of
// everything, because every entry sends a large configuration on every link.
TEST(Links, ConfigurationIsNotSentToCompanionsThatHaveCaughtUpMeanwhile) {
  Entry.handle(configuration_read{entry_harness::defaultConfiguration(5)});
  // The companion hears of the revision at once, so that it does not send it.
  const auto Told = Entry.sent<entry_heartbeat>(A);
  CHECK_FALSE(Told.empty());
  CHECK_EQUAL(5U, Told.back().ConfigurationRevision);
  CHECK_TRUE(Entry.sent<configuration_push>(A).empty());
  Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 5}});
  Entry.pass(ConfigurationPushSpread);
  CHECK_TRUE(Entry.sent<configuration_push>(A).empty());
}

TEST(Links, OtherVersionsAndOtherFirstMessagesAreRefused) {
  Entry.handle(link_opened{.Link = B});
  Entry.receive(B, {companion_hello{.Version = PeerProtocolVersion + 1}});
  CHECK_EQUAL(1U, Entry.actions<close_link>().size());
  Entry.handle(link_opened{.Link = A2});
  Entry.receive(A2, {load_report{}});
  CHECK_EQUAL(2U, Entry.actions<close_link>().size());
}

TEST(Links, ConfigurationNeverReverts) {
  Entry.receive(A,
                {configuration_push{entry_harness::defaultConfiguration(7)}});
  CHECK_EQUAL(7U, Entry.Core.getConfiguration().Revision);
  Entry.handle(configuration_read{entry_harness::defaultConfiguration(6)});
  CHECK_EQUAL(7U, Entry.Core.getConfiguration().Revision);
  CHECK_EQUAL(2U, Entry.actions<configuration_adopted>().size());
}

TEST(Links, HeartbeatsKeepAnIdleLinkAndCarryAcknowledgements) {
  Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.clear();
  Entry.complete(A, Task);
  CHECK_TRUE(Entry.actions<send_messages>().empty());
  Entry.pass(std::chrono::milliseconds(800));
  CHECK_EQUAL(1U, Entry.sent<entry_heartbeat>(A).size());
  CHECK_TRUE(Entry.sent<acknowledge_ends>(A)[0].Tasks ==
             std::vector<task_id>{Task});
}

TEST(Links, SilentLinkIsClosedAndItsTasksStayOutstanding) {
  const request_id Request = Entry.submit("fast");
  Entry.pass(std::chrono::seconds(3));
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::LinkSilent));
  CHECK_TRUE(Entry.actions<close_link>().front().Link == A);
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
}

TEST(Links, ResumeNamesOutstandingTasksAndTakesTheirEnds) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.handle(link_closed{.Link = A, .Reason = "reset"});
  Entry.connect(A2, "runner-a");
  CHECK_TRUE(Entry.sent<resume_request>(A2)[0].Outstanding ==
             std::vector<task_id>{Task});
  Entry.complete(A2, Task);
  CHECK_TRUE(Entry.isCompleted(Request));
}

TEST(Links, UnknownAfterResumeIsPlacedElsewhere) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.connect(B, "runner-b");
  Entry.handle(link_closed{.Link = A});
  Entry.connect(A2, "runner-a");
  Entry.end(A2, Task, task_not_started{.Reason = not_started_reason::Unknown});
  CHECK_TRUE(Entry.placed(B) == std::vector<task_id>{Task});
  CHECK_TRUE(Entry.placed(A2).empty());
  Entry.complete(B, Task);
  CHECK_TRUE(Entry.isCompleted(Request));
}

TEST(Links, PlacementsLostOnEveryLinkAreMadeAgain) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.connect(B, "runner-b");
  Entry.end(A, Task, task_not_started{.Reason = not_started_reason::Unknown});
  Entry.end(B, Task, task_not_started{.Reason = not_started_reason::Unknown});
  Entry.clear();
  for (int Each = 0; Each < 4; ++Each) {
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
    Entry.receive(B, {companion_heartbeat{.ConfigurationRevision = 1}});
    Entry.pass(std::chrono::seconds(1));
  }
  CHECK_TRUE(Entry.failureOf(Request) == nullptr);
  const bool IsOnA = !Entry.placed(A).empty();
  CHECK_TRUE(Entry.placed(IsOnA ? A : B) == std::vector<task_id>{Task});
  Entry.complete(IsOnA ? A : B, Task);
  CHECK_TRUE(Entry.isCompleted(Request));
}

// Guards against two runs of one task: one that the entry repeated after its
// link was idle and closed, and the first, which would start on the new link.
TEST(Links, ANewLinkNamesWhatIsOutstandingAlsoIfNothingIs) {
  Entry.handle(link_closed{.Link = A});
  Entry.connect(A2, "runner-a");
  const auto Resumed = Entry.sent<resume_request>(A2);
  CHECK_EQUAL(1U, Resumed.size());
  CHECK_TRUE(Resumed[0].Outstanding.empty());
  // Without it nothing may be said of tasks of an earlier link.
  CHECK_EQUAL(0U, Entry.countEvents(event_kind::LinkResumed));
}

TEST(Links, SilenceNeverLeadsToAnotherPlacement) {
  const request_id Request = Entry.submit("fast");
  Entry.connect(B, "runner-b");
  Entry.handle(link_closed{.Link = A});
  Entry.pass(std::chrono::seconds(9));
  CHECK_TRUE(Entry.answerOf(Request) == nullptr);
  Entry.pass(std::chrono::seconds(2));
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::EndpointLost));
  CHECK_TRUE(Entry.placed(B).empty());
}

TEST(Links, NewIncarnationMayHaveRunWhatTheOldOneHad) {
  const request_id Request = Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.connect(A2, "runner-a", 8, incarnation{2});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::EndpointLost));
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::PeerReplaced));
  // It is asked, but for nothing that the old one had.
  CHECK_EQUAL(1U, Entry.sent<resume_request>(A2).size());
  CHECK_TRUE(Entry.sent<resume_request>(A2)[0].Outstanding.empty());
  Entry.complete(A2, Task);
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::TaskResultStale));
}

// Guards against two runs of one task: the hello of a process that has been
// killed can arrive after the next one has linked and runs tasks.
TEST(Links, AHelloWithoutAnAnswerReplacesNobody) {
  entry_harness Leased{makeLeased()};
  Leased.handle(configuration_read{entry_harness::defaultConfiguration()});
  Leased.connect(A, "runner-a");
  job_request Job{.Class = "fast", .Team = "acme", .Repeatable = true};
  Job.Tasks.resize(1);
  const request_id Request = Leased.submit(std::move(Job));
  const task_id Task = Leased.placed(A)[0];
  Leased.connect(B, "runner-b");
  Leased.greet(A2, "runner-a", 8, incarnation{2});
  Leased.receive(A2, {lease_request{}, companion_heartbeat{}});
  Leased.pass(std::chrono::milliseconds(300));
  CHECK_TRUE(Leased.placed(B).empty());
  CHECK_TRUE(Leased.placed(A2).empty());
  CHECK_EQUAL(0U, Leased.countEvents(event_kind::PeerReplaced));
  CHECK_TRUE(Leased.actions<close_link>().empty());
  // The living one keeps its lease and its place.
  Leased.receive(A, {lease_request{.At = std::chrono::seconds(1)}});
  Leased.Now += std::chrono::seconds(1);
  Leased.handle(timer_expired{});
  CHECK_FALSE(Leased.sent<lease_grant>(A).empty());
  CHECK_TRUE(Leased.sent<lease_grant>(A2).empty());
  Leased.handle(link_closed{.Link = A2});
  Leased.complete(A, Task);
  CHECK_TRUE(Leased.isCompleted(Request));
  Leased.connect(A3, "runner-a");
  CHECK_TRUE(Leased.actions<close_link>().back().Link == A);
}

// Guards against a lease that is too long: each life of a companion has a clock
// of its own, and that of an earlier one may be ahead.
TEST(Links, WhatAnEarlierLifeOrLinkAskedForIsNotGranted) {
  Entry.receive(A, {lease_request{.At = std::chrono::hours(9)}});
  Entry.greet(A2, "runner-a", 8, incarnation{2});
  Entry.receive(A2, {resume_reply{}});
  Entry.pass(std::chrono::seconds(1));
  CHECK_TRUE(Entry.sent<lease_grant>(A2).empty());
  Entry.receive(A2, {lease_request{.At = std::chrono::hours(1)}});
  Entry.handle(link_closed{.Link = A2});
  Entry.connect(A3, "runner-a", 8, incarnation{2});
  Entry.pass(std::chrono::seconds(1));
  CHECK_TRUE(Entry.sent<lease_grant>(A3).empty());
  Entry.receive(A3, {lease_request{.At = std::chrono::minutes(1)}});
  Entry.pass(std::chrono::seconds(1));
  CHECK_EQUAL(1U, Entry.sent<lease_grant>(A3).size());
  CHECK_TRUE(Entry.sent<lease_grant>(A3)[0].At == std::chrono::minutes(1));
}

TEST(Links, AHelloThatIsNotAnsweredInTimeIsRefused) {
  Entry.greet(A2, "runner-a", 8, incarnation{2});
  for (int Each = 0; Each < 8; ++Each) {
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
    Entry.receive(A2, {companion_heartbeat{.ConfigurationRevision = 1}});
    Entry.pass(std::chrono::milliseconds(500));
  }
  CHECK_EQUAL(1U, Entry.actions<close_link>().size());
  CHECK_TRUE(Entry.actions<close_link>().front().Link == A2);
}

TEST(Links, WhatANewIncarnationSaysBeforeItsAnswerCounts) {
  Entry.submit("fast");
  Entry.clear();
  Entry.greet(A2, "runner-a", 8, incarnation{2});
  Entry.receive(A2, {endpoint_report{.State = endpoint_state::Serving,
                                     .Classes = {"slow"},
                                     .Slots = 8}});
  CHECK_EQUAL(1U, Entry.sent<entry_hello>(A2).size());
  CHECK_EQUAL(1U, Entry.sent<resume_request>(A2).size());
  CHECK_EQUAL(0U, Entry.countEvents(event_kind::PeerReplaced));
  Entry.receive(A2, {resume_reply{}});
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::PeerReplaced));
  CHECK_EQUAL(1U, Entry.sent<entry_hello>(A2).size());
  Entry.submit("fast");
  CHECK_TRUE(Entry.placed(A2).empty());
  Entry.submit("slow");
  CHECK_EQUAL(1U, Entry.placed(A2).size());
}

TEST(Links, ANewIncarnationThatDialsAgainIsAskedOnItsLatestLink) {
  Entry.greet(A2, "runner-a", 8, incarnation{2});
  Entry.connect(A3, "runner-a", 8, incarnation{2});
  CHECK_TRUE(Entry.actions<close_link>().front().Link == A2);
  CHECK_TRUE(Entry.actions<close_link>().back().Link == A);
  Entry.submit("fast");
  CHECK_EQUAL(1U, Entry.placed(A3).size());
}

TEST(Links, ReplacedIncarnationIsRefused) {
  Entry.connect(A2, "runner-a", 8, incarnation{2});
  Entry.connect(B, "runner-a", 8, incarnation{1});
  CHECK_TRUE(Entry.actions<close_link>().back().Link == B);
  Entry.submit("fast");
  CHECK_EQUAL(1U, Entry.placed(A2).size());
}

TEST(Links, PlacementsNotYetWrittenGoElsewhere) {
  Entry.handleOnly(
      job_submitted{.Request = request_id{77},
                    .Job = {.Class = "fast",
                            .Team = "acme",
                            .Tasks = std::vector<task_request>(1)}});
  Entry.handleOnly(link_closed{.Link = A});
  Entry.flush();
  Entry.connect(B, "runner-b");
  CHECK_EQUAL(1U, Entry.placed(B).size());
}

TEST(Links, RepeatedEndsAreStaleAndAcknowledged) {
  Entry.submit("fast");
  const task_id Task = Entry.placed(A)[0];
  Entry.complete(A, Task);
  Entry.complete(A, Task);
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::TaskResultStale));
  Entry.pass(std::chrono::milliseconds(800));
  CHECK_EQUAL(2U, Entry.sent<acknowledge_ends>(A)[0].Tasks.size());
}

TEST(Links, LeavingEndpointGetsNothing) {
  Entry.receive(A, {endpoint_report{.State = endpoint_state::Leaving,
                                    .Classes = {"fast"},
                                    .Slots = 8}});
  Entry.submit("fast");
  CHECK_TRUE(Entry.placed(A).empty());
  Entry.connect(B, "runner-b");
  CHECK_EQUAL(1U, Entry.placed(B).size());
}

TEST(Links, WithdrawalsAreRepeatedOnTheNewLink) {
  const request_id Request = Entry.submit("fast");
  Entry.handle(link_closed{.Link = A});
  Entry.handle(job_cancelled{.Request = Request});
  Entry.connect(A2, "runner-a");
  CHECK_EQUAL(1U, Entry.sent<withdraw_tasks>(A2).size());
}
