#include "story.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::checker;

using std::chrono::seconds;

TEST_GROUP(ProcessRules) {
  story Story;

  void setup() override { Story.start(); }
};

TEST(ProcessRules, PlacementOnALeavingEndpointIsSeen) {
  Story.add(Story.Companion, event_kind::EndpointLeaving).Peer = "endpoint";
  Story.wait(seconds(4));
  Story.submit();
  Story.complete();
  CHECK_TRUE(Story.breaks(rule::NoPlacementOnLeaving));
}

TEST(ProcessRules, PlacementSoonAfterLeavingIsClean) {
  Story.add(Story.Companion, event_kind::EndpointLeaving).Peer = "endpoint";
  Story.wait(seconds(2));
  Story.submit();
  Story.complete();
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, PlacementThatIsGivenBackIsClean) {
  Story.add(Story.Companion, event_kind::EndpointLeaving).Peer = "endpoint";
  Story.wait(seconds(4));
  Story.addTask(Story.Entry, event_kind::TaskPlaced).Peer = "companion";
  Story.addTask(Story.Companion, event_kind::TaskNotStarted);
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, ReturnedEndpointMayBeUsed) {
  Story.add(Story.Companion, event_kind::EndpointLeaving).Peer = "endpoint";
  Story.wait(seconds(4));
  Story.add(Story.Companion, event_kind::EndpointAnnounced).Peer = "endpoint";
  Story.submit();
  Story.complete();
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, JobCutOffByTheStopOfItsEntryIsSeen) {
  Story.submit();
  Story.add(Story.Entry, event_kind::ProcessStopping);
  Story.fail("may_have_run");
  Story.Events.back().Code = "stopping";
  Story.add(Story.Entry, event_kind::ProcessStopped);
  CHECK_TRUE(Story.breaks(rule::StopCutsOffNothing));
}

TEST(ProcessRules, TaskCutOffByTheStopOfItsCompanionIsSeen) {
  Story.submit();
  Story.stop(Story.Companion);
  CHECK_TRUE(Story.breaks(rule::StopCutsOffNothing));
}

TEST(ProcessRules, EndThatIsNotHandedOverIsSeen) {
  Story.submit();
  Story.addTask(Story.Companion, event_kind::TaskEnded).Digest = 5;
  Story.stop(Story.Companion);
  Story.addTask(Story.Entry, event_kind::TaskUncertain).Peer = "companion";
  Story.fail("may_have_run");
  CHECK_TRUE(Story.breaks(rule::StopCutsOffNothing));
}

TEST(ProcessRules, StopWhileTheEntryIsSilentIsClean) {
  Story.submit();
  Story.addTask(Story.Companion, event_kind::TaskEnded).Digest = 5;
  Story.add(Story.Companion, event_kind::LinkSilent).Peer = "entry";
  Story.stop(Story.Companion);
  Story.addTask(Story.Entry, event_kind::TaskUncertain).Peer = "companion";
  Story.fail("may_have_run");
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, KilledCompanionMayCutOff) {
  Story.submit();
  Story.add(Story.Companion, event_kind::ProcessStopping);
  Story.Companion.Incarnation = incarnation{3};
  Story.add(Story.Companion, event_kind::ProcessStarted);
  Story.addTask(Story.Entry, event_kind::TaskUncertain).Peer = "companion";
  Story.fail("may_have_run");
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, FallingRevisionIsSeen) {
  Story.add(Story.Companion, event_kind::ConfigurationInForce).Value = 3;
  Story.add(Story.Companion, event_kind::ConfigurationInForce).Value = 2;
  CHECK_TRUE(Story.breaks(rule::RevisionNeverFalls));
}

TEST(ProcessRules, LateRevisionIsSeen) {
  Story.add(Story.Entry, event_kind::ConfigurationAccepted).Value = 2;
  Story.add(Story.Entry, event_kind::ConfigurationInForce).Value = 2;
  Story.wait(seconds(13));
  Story.add(Story.Companion, event_kind::ConfigurationInForce).Value = 2;
  CHECK_TRUE(Story.breaks(rule::RevisionInForceInTime));
}

TEST(ProcessRules, MissingRevisionIsSeenInALiveProcessOnly) {
  Story.add(Story.Entry, event_kind::ConfigurationAccepted).Value = 2;
  Story.add(Story.Entry, event_kind::ConfigurationInForce).Value = 2;
  Story.wait(seconds(13));
  Story.add(Story.Entry, event_kind::StoreDown);
  CHECK_TRUE(Story.isClean());
  Story.add(Story.Companion, event_kind::LinkClosed).Peer = "entry";
  CHECK_TRUE(Story.breaks(rule::RevisionInForceInTime));
}

TEST(ProcessRules, PausedProcessHasTimeAfterItsReturn) {
  Story.add(Story.Entry, event_kind::ConfigurationAccepted).Value = 2;
  Story.add(Story.Entry, event_kind::ConfigurationInForce).Value = 2;
  Story.wait(seconds(2));
  Story.add(Story.Entry, event_kind::LinkSilent).Peer = "companion";
  Story.wait(seconds(30));
  Story.add(Story.Companion, event_kind::LinkOpened).Peer = "entry";
  Story.wait(seconds(1));
  Story.add(Story.Companion, event_kind::ConfigurationInForce).Value = 2;
  CHECK_TRUE(Story.isClean());
}

TEST(ProcessRules, ReplacedProcessHasTimeFromItsStart) {
  Story.add(Story.Entry, event_kind::ConfigurationAccepted).Value = 2;
  Story.add(Story.Entry, event_kind::ConfigurationInForce).Value = 2;
  Story.wait(seconds(60));
  Story.Companion.Incarnation = incarnation{3};
  Story.add(Story.Companion, event_kind::ProcessStarted);
  Story.wait(seconds(5));
  Story.add(Story.Companion, event_kind::ConfigurationInForce).Value = 2;
  CHECK_TRUE(Story.isClean());
}
