#include "entry_harness.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr link_id A{1};

} // namespace

TEST_GROUP(Claims) {
  entry_harness Entry;
  request_id Request{};

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
    Entry.connect(A, "runner-a");
    Request = Entry.submit("sale", 1, "key-1");
  }

  ask_claim asked() const { return Entry.actions<ask_claim>().back(); }
  void answer(claim_status Status) {
    Entry.handle(claim_answered{.Job = asked().Job, .Status = Status});
  }
};

TEST(Claims, NothingIsPlacedBeforeTheClaimIsConfirmed) {
  CHECK_TRUE(Entry.placed(A).empty());
  answer(claim_status::Confirmed);
  const auto Tasks = Entry.placed(A);
  CHECK_EQUAL(1U, Tasks.size());
  Entry.complete(A, Tasks[0], "1");
  CHECK_TRUE(Entry.isCompleted(Request));
  const auto Settled = Entry.actions<settle_claim>();
  CHECK_EQUAL(1U, Settled.size());
  CHECK_TRUE(Settled[0].Outcome == Entry.answerOf(Request)->Outcome);
}

TEST(Claims, StoredOutcomeOfTheHolderIsAnswered) {
  const job_outcome Stored = job_results{.Outputs = {payload("7")}};
  Entry.handle(claim_answered{.Job = asked().Job,
                              .Status = claim_status::Held,
                              .HolderDigest = asked().RequestDigest,
                              .HolderOutcome = Stored});
  CHECK_TRUE(Entry.answerOf(Request)->Outcome == Stored);
  CHECK_TRUE(Entry.placed(A).empty());
}

TEST(Claims, HolderWithoutAnOutcomeMayHaveRun) {
  Entry.handle(claim_answered{.Job = asked().Job,
                              .Status = claim_status::Held,
                              .HolderDigest = asked().RequestDigest});
  CHECK_TRUE(Entry.mayHaveRun(Request, failure_code::EarlierAttempt));
}

TEST(Claims, KeyOfAnotherRequestIsRefused) {
  Entry.handle(claim_answered{.Job = asked().Job,
                              .Status = claim_status::Held,
                              .HolderDigest = asked().RequestDigest + 1});
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::KeyReused));
}

TEST(Claims, WithoutTheStoreNothingRuns) {
  answer(claim_status::Refused);
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::StoreUnavailable));
  Request = Entry.submit("sale", 1, "key-2");
  answer(claim_status::Unknown);
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::StoreUnavailable));
  Request = Entry.submit("sale", 1, "key-3");
  Entry.pass(std::chrono::seconds(6));
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::StoreUnavailable));
  answer(claim_status::Confirmed);
  CHECK_TRUE(Entry.placed(A).empty());
  CHECK_EQUAL(1U, Entry.actions<settle_claim>().size());
}

TEST(Claims, CancelledWhileClaimingNeverRuns) {
  Entry.handle(job_cancelled{.Request = Request});
  CHECK_TRUE(Entry.isNotRun(Request, failure_code::Cancelled));
  answer(claim_status::Confirmed);
  CHECK_TRUE(Entry.placed(A).empty());
  CHECK_EQUAL(1U, Entry.actions<settle_claim>().size());
}

TEST(Claims, OutcomesThatWereNotStoredAreOfferedAgain) {
  answer(claim_status::Confirmed);
  Entry.complete(A, Entry.placed(A)[0]);
  Entry.handle(claim_settled{.Job = asked().Job, .Stored = false});
  Entry.pass(std::chrono::seconds(1));
  CHECK_EQUAL(2U, Entry.actions<settle_claim>().size());
  Entry.handle(claim_settled{.Job = asked().Job, .Stored = true});
  Entry.pass(std::chrono::seconds(1));
  CHECK_EQUAL(2U, Entry.actions<settle_claim>().size());
}
