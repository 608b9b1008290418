#include "fake_table.h"

#include <crocuswood/platform.h>

#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::platform;
using namespace std::chrono_literals;
using entry::claim_status;
using mode = fake_table::mode;

TEST_GROUP(ClaimWriter) {
  fake_table Table;
  std::vector<entry::claim_answered> Answers;
  std::vector<entry::claim_settled> Settlements;
  std::unique_ptr<claim_writer> Writer;
  instant Now{1s};

  void setup() override {
    Writer = std::make_unique<claim_writer>(
        Table, claim_writer::limits{},
        [this](entry::claim_answered Answer) {
          Answers.push_back(std::move(Answer));
        },
        [this](entry::claim_settled Settled) {
          Settlements.push_back(Settled);
        });
  }

  static job_id job(std::uint64_t Sequence) {
    return {.Entry = incarnation{7}, .Sequence = Sequence};
  }

  void ask(std::uint64_t Sequence, std::uint64_t Digest = 5) {
    Writer->ask({.Job = job(Sequence),
                 .Team = "fraser",
                 .Key = "sale-1",
                 .RequestDigest = Digest},
                Now);
    Writer->advance(Now);
  }

  void settle(std::uint64_t Sequence, job_outcome Outcome) {
    Writer->settle({.Job = job(Sequence),
                    .Team = "fraser",
                    .Key = "sale-1",
                    .RequestDigest = 5,
                    .Outcome = std::move(Outcome)},
                   Now);
    Writer->advance(Now);
  }

  void pass(duration Span) {
    const instant End = Now + Span;
    while (Now < End) {
      Now += 100ms;
      Writer->advance(Now);
    }
  }
};

TEST(ClaimWriter, FirstAttemptHoldsAndSecondLearnsItsOutcome) {
  ask(1);
  settle(1, job_results{.Outputs = {payload("42")}});
  ask(2);
  CHECK_EQUAL(2, Answers.size());
  CHECK_TRUE(Answers[0].Status == claim_status::Confirmed);
  CHECK_TRUE(Answers[1].Status == claim_status::Held);
  CHECK_TRUE(Answers[1].HolderOutcome ==
             job_outcome(job_results{.Outputs = {payload("42")}}));
}

TEST(ClaimWriter, LostAnswerIsSettledByTheToken) {
  Table.Mode = mode::LoseAnswers;
  ask(1);
  CHECK_TRUE(Answers.empty());
  Table.Mode = mode::Up;
  pass(1s);
  CHECK_EQUAL(1, Answers.size());
  CHECK_TRUE(Answers[0].Status == claim_status::Confirmed);
}

TEST(ClaimWriter, StoreDownIsRefusedWithoutARow) {
  Table.Mode = mode::Down;
  ask(1);
  CHECK_TRUE(Answers.at(0).Status == claim_status::Refused);
  CHECK_TRUE(Table.Rows.empty());
}

TEST(ClaimWriter, UnknownClaimIsReleasedSoThatTheKeyWorksAgain) {
  Table.Mode = mode::LoseAnswers;
  ask(1);
  Table.Mode = mode::LoseRequests;
  Table.Hold = true;
  pass(5s);
  Table.Hold = false;
  while (!Table.Held.empty()) {
    Table.Held.front()();
    Table.Held.pop_front();
  }
  pass(5s);
  CHECK_TRUE(Answers.at(0).Status == claim_status::Unknown);
  CHECK_EQUAL(1, Table.Rows.size());
  Table.Mode = mode::Up;
  pass(1s);
  CHECK_TRUE(Table.Rows.empty());
  ask(2);
  CHECK_TRUE(Answers.at(1).Status == claim_status::Confirmed);
}

TEST(ClaimWriter, JobThatHasNotRunReleasesItsKey) {
  ask(1);
  settle(1, job_failure{.Code = failure_code::Overloaded,
                        .Certainty = run_certainty::NotRun});
  CHECK_TRUE(Table.Rows.empty());
  CHECK_TRUE(Settlements.at(0).Stored);
}

TEST(ClaimWriter, JobThatMayHaveRunKeepsItsKey) {
  ask(1);
  settle(1, job_failure{.Code = failure_code::EndpointLost,
                        .Certainty = run_certainty::MayHaveRun});
  ask(2, 6);
  CHECK_TRUE(Answers.at(1).Status == claim_status::Held);
  CHECK_EQUAL(5, Answers.at(1).HolderDigest);
}

TEST(ClaimWriter, SettlementOutlivesAnOutage) {
  ask(1);
  Table.Mode = mode::Down;
  settle(1, job_results{});
  pass(60s);
  CHECK_TRUE(Settlements.empty());
  Table.Mode = mode::Up;
  pass(1s);
  CHECK_TRUE(Settlements.at(0).Stored);
}

TEST(ClaimWriter, ClaimsAskedTogetherShareARequest) {
  Table.Hold = true;
  ask(1);
  for (std::uint64_t Sequence = 2; Sequence <= 50; ++Sequence) {
    Writer->ask(
        {.Job = job(Sequence), .Team = "t", .Key = std::to_string(Sequence)},
        Now);
  }
  Writer->advance(Now);
  Table.Hold = false;
  Table.Held.front()();
  Table.Held.pop_front();
  CHECK_EQUAL(2, Table.Requests);
  CHECK_EQUAL(50, Answers.size());
}
