#include "story.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::checker;

TEST_GROUP(JobRules) {
  story Story;

  void setup() override { Story.start(); }
};

TEST(JobRules, AWholeLifeIsClean) {
  Story.submit(1, "sale-1");
  Story.complete();
  timeline_event &Refused =
      Story.addJob(Story.Entry, event_kind::JobRefused, 2);
  Refused.Certainty = "not_run";
  Story.add(Story.Companion, event_kind::EndpointLeaving).Peer = "endpoint";
  Story.stop(Story.Companion);
  Story.stop(Story.Entry);
  const verdict Verdict = judge(Story.Events);
  CHECK_TRUE(Verdict.Violations.empty());
  CHECK_EQUAL(2U, Verdict.Jobs);
  CHECK_EQUAL(1U, Verdict.Starts);
  CHECK_EQUAL(Story.Events.size(), Verdict.Events);
}

TEST(JobRules, SecondStartIsSeen) {
  Story.submit();
  Story.addTask(Story.Companion, event_kind::TaskStarted).Peer = "endpoint";
  Story.complete();
  CHECK_TRUE(Story.breaks(rule::StartsAtMostOnce));
}

TEST(JobRules, SecondRunIsSeenWhateverTheEndpointsClock) {
  Story.submit();
  Story.complete();
  Story.addTask(Story.Endpoint, event_kind::EndpointRan);
  Story.Events.back().Time = {};
  CHECK_TRUE(Story.breaks(rule::StartsAtMostOnce));
}

TEST(JobRules, RunBesideAnotherCompanionsStartIsSeen) {
  Story.Endpoint.Name = "another";
  Story.addTask(Story.Endpoint, event_kind::EndpointRan);
  Story.Endpoint.Name = "endpoint";
  Story.submit();
  Story.complete();
  CHECK_TRUE(Story.breaks(rule::StartsAtMostOnce));
}

TEST(JobRules, CompletionWithoutEveryResultIsSeen) {
  Story.submit();
  Story.complete();
  for (timeline_event &Event : Story.Events) {
    if (Event.Kind == event_kind::JobSubmitted) {
      Event.Value = 2;
    }
  }
  CHECK_TRUE(Story.breaks(rule::CompleteOrFailed));
}

TEST(JobRules, CompletionDespiteAFailedTaskIsSeen) {
  Story.submit();
  Story.addTask(Story.Companion, event_kind::TaskFailed);
  Story.complete();
  CHECK_TRUE(Story.breaks(rule::CompleteOrFailed));
}

TEST(JobRules, AnswerOfAnotherOutcomeIsSeen) {
  Story.submit();
  Story.complete();
  Story.Events.back().Digest = 10;
  CHECK_TRUE(Story.breaks(rule::AnswerToItsOwner));
}

TEST(JobRules, ResultOfOtherBytesIsSeen) {
  Story.submit();
  Story.complete();
  for (timeline_event &Event : Story.Events) {
    if (Event.Kind == event_kind::TaskEnded) {
      Event.Digest = 6;
    }
  }
  CHECK_TRUE(Story.breaks(rule::AnswerToItsOwner));
}

TEST(JobRules, StartOfARefusedJobIsSeen) {
  Story.submit();
  Story.fail("not_run");
  CHECK_TRUE(Story.breaks(rule::NotRunIsTrue));
}

TEST(JobRules, RunAfterARefusalIsSeenOnTheEndpointAlone) {
  Story.addJob(Story.Entry, event_kind::JobRefused).Certainty = "not_run";
  Story.addTask(Story.Endpoint, event_kind::EndpointRan);
  CHECK_TRUE(Story.breaks(rule::NotRunIsTrue));
}

TEST(JobRules, MayHaveRunMayHaveStarts) {
  Story.submit();
  Story.fail("may_have_run");
  CHECK_TRUE(Story.isClean());
}

TEST(JobRules, KeyThatRunsInTwoJobsIsSeen) {
  Story.submit(1, "sale-1");
  Story.complete(1);
  Story.submit(2, "sale-1");
  Story.complete(2);
  CHECK_TRUE(Story.breaks(rule::KeyRunsAtMostOnce));
}

TEST(JobRules, StoredAnswerOfAKeyIsClean) {
  Story.submit(1, "sale-1");
  Story.complete(1);
  const timeline_event Submitted =
      *std::find_if(Story.Events.begin(), Story.Events.end(),
                    [](const timeline_event &Event) {
                      return Event.Kind == event_kind::JobSubmitted;
                    });
  timeline_event &Again =
      Story.addJob(Story.Entry, event_kind::JobSubmitted, 2);
  Again.Team = Submitted.Team;
  Again.Key = Submitted.Key;
  Again.Value = Submitted.Value;
  Again.Digest = Submitted.Digest;
  Story.addJob(Story.Entry, event_kind::ClaimHeld, 2);
  Story.addJob(Story.Entry, event_kind::AnswerSent, 2).Digest = 9;
  const std::size_t Answer = Story.Events.size() - 1;
  Story.stop(Story.Entry);
  CHECK_TRUE(Story.isClean());
  Story.Events[Answer].Digest = 8;
  CHECK_TRUE(Story.breaks(rule::AnswerToItsOwner));
}

TEST(JobRules, TwoEndsAreSeen) {
  Story.submit();
  Story.complete();
  Story.fail("may_have_run");
  CHECK_TRUE(Story.breaks(rule::OneEnd));
}

TEST(JobRules, MissingEndIsSeenUnlessTheEntryWasKilled) {
  Story.submit();
  CHECK_TRUE(Story.isClean());
  Story.stop(Story.Entry);
  CHECK_TRUE(Story.breaks(rule::OneEnd));
  CHECK_TRUE(Story.broken({.ExpectEnds = false}).empty());
}
