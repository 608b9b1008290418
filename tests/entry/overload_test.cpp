#include "entry_harness.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;
using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

constexpr link_id A{1};
constexpr duration Late = milliseconds(60);
constexpr duration Sample = milliseconds(50);

} // namespace

/// A burst that is more than the entry's processor can do.
TEST_GROUP(OwnOverload) {
  entry_harness Entry;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
    Entry.connect(A, "runner-a");
  }
  void lag(duration Lag, duration For) {
    for (duration Passed{}; Passed < For; Passed += Sample) {
      Entry.Now += Sample;
      Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
      Entry.handle(lag_measured{.Lag = Lag});
    }
  }
  bool isReady() { return Entry.Core.getStatus().Ready; }
};

TEST(OwnOverload, JobsAreRefusedAsNotRunWhileTheEntryIsLate) {
  lag(Late, milliseconds(100));
  const request_id Refused = Entry.submit("fast");
  CHECK_TRUE(Entry.isNotRun(Refused, failure_code::Overloaded));
  CHECK_TRUE(Entry.failureOf(Refused)->RetryAfter.has_value());
  lag(milliseconds(1), Sample);
  CHECK_TRUE(Entry.answerOf(Entry.submit("fast")) == nullptr);
}

TEST(OwnOverload, OneLateTurnRefusesNothing) {
  lag(seconds(3), Sample);
  CHECK_TRUE(Entry.answerOf(Entry.submit("fast")) == nullptr);
  CHECK_TRUE(isReady());
}

TEST(OwnOverload, ALinkIsNotSilentForWhatTheEntryHasNotGotTo) {
  const duration Silence = entry_harness::defaults().SilenceLimit;
  Entry.handle(lag_measured{.Lag = milliseconds(500)});
  Entry.pass(Silence + milliseconds(400));
  CHECK_EQUAL(0U, Entry.countEvents(event_kind::LinkSilent));
  Entry.handle(lag_measured{.Lag = milliseconds(1)});
  Entry.pass(milliseconds(600));
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::LinkSilent));
}

// Guards against links that never come about after a restart because the entry
// gives them up before it has read what the companions sent.
TEST(OwnOverload, ANewLinkIsNotRefusedForWhatTheEntryHasNotGotTo) {
  const duration Silence = entry_harness::defaults().SilenceLimit;
  const std::size_t Before = Entry.actions<close_link>().size();
  Entry.handle(lag_measured{.Lag = milliseconds(500)});
  Entry.handle(link_opened{.Link = link_id{2}});
  for (duration Passed{}; Passed < Silence + milliseconds(400);
       Passed += Sample) {
    Entry.pass(Sample);
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
  }
  CHECK_EQUAL(Before, Entry.actions<close_link>().size());
  Entry.pass(milliseconds(600));
  CHECK_EQUAL(Before + 1, Entry.actions<close_link>().size());
}

TEST(OwnOverload, CallersAreSentAwayIfItLastsAndTakenBackLater) {
  lag(Late, milliseconds(300));
  CHECK_TRUE(isReady());
  lag(Late, milliseconds(400));
  CHECK_FALSE(isReady());
  lag(milliseconds(1), seconds(3));
  CHECK_FALSE(isReady());
  CHECK_TRUE(Entry.answerOf(Entry.submit("fast")) == nullptr);
  lag(milliseconds(1), seconds(2));
  CHECK_TRUE(isReady());
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::EntryOverloaded));
  CHECK_EQUAL(1U, Entry.countEvents(event_kind::EntryRecovered));
}

TEST(OwnOverload, CallersAreAskedToReconnectOnceTheBalancerHasNoticed) {
  lag(Late, seconds(2));
  CHECK_TRUE(Entry.actions<steer_callers>().empty());
  lag(Late, seconds(2));
  CHECK_EQUAL(1U, Entry.actions<steer_callers>().size());
  CHECK_TRUE(Entry.actions<steer_callers>()[0].Away);
  lag(milliseconds(1), seconds(6));
  CHECK_EQUAL(2U, Entry.actions<steer_callers>().size());
  CHECK_FALSE(Entry.actions<steer_callers>()[1].Away);
}
