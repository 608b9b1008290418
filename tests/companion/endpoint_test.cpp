#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

TEST_GROUP(CompanionEndpoint) { driver Driver; };

TEST(CompanionEndpoint, LeavingIsToldAtOnceAndQueuedTasksAreGivenBack) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.clear();
  Driver.announce(1, endpoint_state::Leaving);
  CHECK_TRUE(Driver.listSent<endpoint_report>(Link).front().State ==
             endpoint_state::Leaving);
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Leaving);
  Driver.clear();
  Driver.receive(Link, makePlacement(makeTask(3)));
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Leaving);
  CHECK_EQUAL(1U, Driver.Core.getStatus().Load.Running);
}

TEST(CompanionEndpoint, SilenceMakesItAbsentAndRunningTasksKeepTheirSlots) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.clear();
  Driver.passWithHeartbeats(milliseconds(3'500), Link);
  CHECK_TRUE(Driver.listSent<endpoint_report>(Link).front().State ==
             endpoint_state::Absent);
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Leaving);
  Driver.announce(1);
  Driver.receive(Link, makePlacement(makeTask(3)));
  CHECK_EQUAL(0U, Driver.countStarts());
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(1U, Driver.countStarts());
}

TEST(CompanionEndpoint, RenewedAnnouncementsAreNotReported) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.clear();
  Driver.announce(1);
  CHECK_EQUAL(0U, Driver.listSent<endpoint_report>(Link).size());
  Driver.announce(2);
  CHECK_EQUAL(1U, Driver.listSent<endpoint_report>(Link).size());
}

TEST(CompanionEndpoint, LeavingPredecessorDoesNotStopItsSuccessor) {
  Driver.announce(1);
  Driver.feed(endpoint_announced{
      {.Name = "runner-0", .Offer = {.State = endpoint_state::Leaving}}});
  CHECK_TRUE(Driver.Core.getStatus().Endpoint.State == endpoint_state::Serving);
}

TEST_GROUP(CompanionConfiguration) { driver Driver; };

TEST(CompanionConfiguration, OnlyGreaterRevisionsAreAdopted) {
  Driver.feed(configuration_read{{.Revision = 5, .ChangeId = "five"}});
  const link_id Link = Driver.linkA();
  Driver.receive(Link, configuration_push{{.Revision = 4, .ChangeId = "four"}});
  Driver.receive(Link, configuration_push{{.Revision = 5, .ChangeId = "fake"}});
  CHECK_EQUAL(std::string("five"), Driver.Core.getConfiguration().ChangeId);
  Driver.receive(Link, configuration_push{{.Revision = 6, .ChangeId = "six"}});
  CHECK_EQUAL(std::string("six"), Driver.Core.getConfiguration().ChangeId);
  CHECK_EQUAL(1U, Driver.countEvents(event_kind::ConfigurationIgnored));
}

TEST(CompanionConfiguration, EntryWithASmallerRevisionIsBroughtUpToDateOnce) {
  const link_id Link = Driver.linkA();
  Driver.feed(configuration_read{{.Revision = 5}});
  Driver.pass(ConfigurationPushSpread);
  CHECK_EQUAL(1U, Driver.listSent<configuration_push>(Link).size());
  Driver.receive(Link, entry_heartbeat{.ConfigurationRevision = 4});
  CHECK_EQUAL(1U, Driver.listSent<configuration_push>(Link).size());
  Driver.receive(Link, entry_heartbeat{.ConfigurationRevision = 6});
  CHECK_EQUAL(1U, Driver.listSent<configuration_push>(Link).size());
}

// Guards against an entry that starts, or follows a change, and receives the
// configuration from each of its companions although it reads it by itself.
TEST(CompanionConfiguration, EntryThatCatchesUpByItselfIsSentNothing) {
  const link_id Link = Driver.linkA();
  Driver.feed(configuration_read{{.Revision = 5}});
  // The entry hears of the revision at once, so that it does not send it.
  const auto Told = Driver.listSent<companion_heartbeat>(Link);
  CHECK_FALSE(Told.empty());
  CHECK_EQUAL(5U, Told.back().ConfigurationRevision);
  CHECK_TRUE(Driver.listSent<configuration_push>(Link).empty());
  Driver.receive(Link, entry_heartbeat{.ConfigurationRevision = 5});
  Driver.pass(ConfigurationPushSpread);
  CHECK_TRUE(Driver.listSent<configuration_push>(Link).empty());
}

TEST_GROUP(CompanionStop) { driver Driver; };

TEST(CompanionStop, WaitsForRunningTasksAndForTheirAcknowledgements) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.clear();
  Driver.feed(stop_requested{});
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Leaving);
  CHECK_TRUE(Driver.listSent<endpoint_report>(Link).front().State ==
             endpoint_state::Leaving);
  Driver.passWithHeartbeats(seconds(30), Link);
  CHECK_EQUAL(0U, Driver.list<stop_finished>().size());
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(0U, Driver.list<stop_finished>().size());
  Driver.receive(Link, acknowledge_ends{{makeTask(1), makeTask(2)}});
  CHECK_EQUAL(0U, Driver.list<stop_finished>().size());
  Driver.receive(Link, entry_heartbeat{.LeavingSeen = true});
  CHECK_EQUAL(1U, Driver.list<stop_finished>().size());
}

TEST(CompanionStop, WaitsUntilItsLeavingIsConfirmed) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, entry_heartbeat{.LeavingSeen = true});
  Driver.feed(stop_requested{});
  CHECK_EQUAL(0U, Driver.list<stop_finished>().size());
  Driver.receive(Link, entry_heartbeat{.LeavingSeen = false});
  CHECK_EQUAL(0U, Driver.list<stop_finished>().size());
  Driver.receive(Link, entry_heartbeat{.LeavingSeen = true});
  CHECK_EQUAL(1U, Driver.list<stop_finished>().size());
}

TEST(CompanionStop, DoesNotWaitForEntriesThatStop) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, entry_heartbeat{.Stopping = true});
  Driver.feed(stop_requested{});
  CHECK_EQUAL(1U, Driver.list<stop_finished>().size());
}

TEST(CompanionStop, WaitForAcknowledgementsIsBounded) {
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.feed(run_completed{.Task = makeTask(1)});
  Driver.feed(stop_requested{});
  Driver.passWithHeartbeats(seconds(11), Link);
  CHECK_EQUAL(1U, Driver.list<stop_finished>().size());
}
