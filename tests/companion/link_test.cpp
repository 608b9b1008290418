#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

TEST_GROUP(CompanionLinks){};

TEST(CompanionLinks, DialsTheBalancerUntilAnEntryIsKnown) {
  options Options = makeOptions();
  Options.Bootstrap = {Balancer};
  driver Driver(Options);
  Driver.feed(timer_expired{});
  CHECK_TRUE(Driver.findDial(Balancer).has_value());
  const link_id Link = *Driver.findDial(Balancer);
  Driver.feed(link_opened{Link});
  Driver.receive(
      Link, entry_hello{.Entry = {.Name = "entry-a", .Incarnation = EntryA},
                        .KnownEntries = {AddressA, AddressB}});
  CHECK_TRUE(Driver.findDial(AddressA).has_value());
  CHECK_TRUE(Driver.findDial(AddressB).has_value());
  // The direct link replaces the one over the balancer, and stays the only one.
  Driver.clear();
  Driver.feed(link_opened{link_id{2}});
  Driver.receive(link_id{2}, entry_hello{.Entry = {.Name = "entry-a",
                                                   .Incarnation = EntryA},
                                         .KnownEntries = {AddressA, AddressB}});
  const auto Closed = Driver.list<close_link>();
  CHECK_EQUAL(1U, Closed.size());
  CHECK_TRUE(Closed.front().Link == Link);
  Driver.clear();
  Driver.passWithHeartbeats(seconds(5), link_id{2});
  CHECK_FALSE(Driver.findDial(Balancer).has_value());
}

TEST(CompanionLinks, BootstrapDialThatLandsOnALinkedEntryIsClosed) {
  options Options = makeOptions();
  Options.Bootstrap = {Balancer};
  driver Driver(Options);
  Driver.feed(entries_read{{AddressA}});
  const link_id Late = Driver.findDial(Balancer).value();
  const link_id Direct = Driver.open(AddressA, EntryA, "entry-a");
  Driver.clear();
  Driver.feed(link_opened{Late});
  Driver.receive(
      Late, entry_hello{.Entry = {.Name = "entry-a", .Incarnation = EntryA},
                        .KnownEntries = {AddressA, AddressB}});
  const auto Closed = Driver.list<close_link>();
  CHECK_EQUAL(1U, Closed.size());
  CHECK_TRUE(Closed.front().Link == Late);
  CHECK_TRUE(Driver.findDial(AddressB).has_value());
  Driver.receive(Direct, entry_heartbeat{});
  CHECK_EQUAL(1U, Driver.Core.getStatus().Entries.size());
  CHECK_TRUE(Driver.Core.getStatus().Entries.front().Linked);
}

TEST(CompanionLinks, FailedDialIsRepeatedAfterASpreadPause) {
  driver Driver;
  Driver.feed(entries_read{{AddressA}});
  Driver.feed(link_closed{.Link = *Driver.findDial(AddressA)});
  Driver.clear();
  Driver.pass(milliseconds(200));
  CHECK_FALSE(Driver.findDial(AddressA).has_value());
  Driver.pass(milliseconds(600));
  CHECK_TRUE(Driver.findDial(AddressA).has_value());
}

TEST(CompanionLinks, SilentLinkIsReplacedAndTheTasksResume) {
  driver Driver;
  Driver.announce(1);
  const link_id Old = Driver.linkA();
  Driver.receive(Old, makePlacement(makeTask(1)));
  Driver.receive(Old, makePlacement(makeTask(2)));
  Driver.receive(Old, makePlacement(makeTask(3)));
  Driver.clear();
  Driver.pass(milliseconds(2'100));
  CHECK_EQUAL(1U, Driver.countEvents(event_kind::LinkSilent));
  CHECK_TRUE(Driver.list<close_link>().front().Link == Old);
  Driver.announce(1);
  Driver.feed(run_completed{.Task = makeTask(1), .Output = payload("1")});
  const link_id New = Driver.open(
      AddressA, EntryA, "entry-a",
      {resume_request{{makeTask(1), makeTask(2), makeTask(3), makeTask(4)}}});
  const auto Ends = Driver.listSent<task_ended>(New);
  CHECK_EQUAL(2U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_completed>(Ends[0].End));
  CHECK_TRUE(Ends[1].Task == makeTask(4));
  CHECK_TRUE(std::get<task_not_started>(Ends[1].End).Reason ==
             not_started_reason::Unknown);
  const auto Replies = Driver.listSent<resume_reply>(New);
  CHECK_EQUAL(1U, Replies.size());
  const std::vector<task_standing> Expected{
      {.Task = makeTask(2), .Place = task_place::Running},
      {.Task = makeTask(3), .Place = task_place::Queued}};
  CHECK_TRUE(Replies.front().Standing == Expected);
  // A placement that was on its way all the time comes too late.
  Driver.clear();
  Driver.receive(New, makePlacement(makeTask(4)));
  Driver.feed(run_completed{.Task = makeTask(2)});
  Driver.feed(run_completed{.Task = makeTask(3)});
  CHECK_EQUAL(1U, Driver.countStarts());
}

TEST(CompanionLinks, EndsAreSentAgainUntilAcknowledged) {
  driver Driver;
  Driver.announce(1);
  const link_id Old = Driver.linkA();
  Driver.receive(Old, makePlacement(makeTask(1)));
  Driver.feed(run_completed{.Task = makeTask(1), .Output = payload("1")});
  Driver.feed(link_closed{.Link = Old});
  Driver.clear();
  Driver.pass(seconds(1));
  const link_id New = Driver.open(AddressA, EntryA, "entry-a");
  CHECK_EQUAL(1U, Driver.listSent<task_ended>(New).size());
  Driver.receive(New, acknowledge_ends{{makeTask(1)}});
  CHECK_EQUAL(0U, Driver.Core.getStatus().Retained);
}

TEST(CompanionLinks, TaskWhoseEndIsNotKeptAnyMoreIsLostAndNeverNotStarted) {
  driver Driver;
  Driver.announce(1);
  const link_id Old = Driver.linkA();
  Driver.receive(Old, makePlacement(makeTask(1)));
  Driver.feed(run_completed{.Task = makeTask(1)});
  Driver.feed(link_closed{.Link = Old});
  Driver.pass(seconds(11));
  CHECK_EQUAL(0U, Driver.Core.getStatus().Retained);
  const link_id New =
      Driver.open(AddressA, EntryA, "entry-a", {resume_request{{makeTask(1)}}});
  const auto Ends = Driver.listSent<task_ended>(New);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_lost>(Ends.front().End));
}

TEST(CompanionLinks, SecondLinkToTheSameEntryClosesTheOlder) {
  driver Driver;
  Driver.feed(entries_read{{AddressA, AddressB}});
  const link_id Old = Driver.open(AddressA, EntryA, "entry-a");
  Driver.clear();
  Driver.feed(link_opened{link_id{2}});
  Driver.receive(link_id{2}, entry_hello{.Entry = {.Name = "entry-a",
                                                   .Incarnation = EntryA}});
  CHECK_TRUE(Driver.list<close_link>().front().Link == Old);
  // The other address leads to the same entry, so it is not dialled again.
  Driver.clear();
  Driver.passWithHeartbeats(seconds(3), link_id{2});
  CHECK_FALSE(Driver.findDial(AddressA).has_value());
}

TEST(CompanionLinks, HeartbeatIsSentOnlyWhenNothingElseWas) {
  driver Driver;
  Driver.announce(8);
  const link_id Link = Driver.linkA();
  Driver.clear();
  Driver.passWithHeartbeats(seconds(2), link_id{Link});
  const std::size_t Idle = Driver.listSent<companion_heartbeat>(Link).size();
  CHECK_TRUE(Idle >= 3 && Idle <= 4);
  Driver.clear();
  for (std::uint64_t Sequence = 1; Sequence <= 10; ++Sequence) {
    Driver.receive(Link, makePlacement(makeTask(Sequence)));
    Driver.feed(run_completed{.Task = makeTask(Sequence)});
    Driver.pass(milliseconds(200));
  }
  CHECK_EQUAL(0U, Driver.listSent<companion_heartbeat>(Link).size());
}

TEST(CompanionLinks, OtherProtocolVersionIsRefused) {
  driver Driver;
  Driver.feed(entries_read{{AddressA}});
  const link_id Link = *Driver.findDial(AddressA);
  Driver.feed(link_opened{Link});
  Driver.receive(
      Link, entry_hello{.Version = PeerProtocolVersion + 1,
                        .Entry = {.Name = "entry-a", .Incarnation = EntryA}});
  CHECK_EQUAL(1U, Driver.list<close_link>().size());
}

TEST(CompanionLinks, AnotherEntrysTaskIsRefusedWithItsLink) {
  driver Driver;
  Driver.announce(1);
  const link_id Link = Driver.linkA();
  Driver.receive(Link, makePlacement(makeTask(1, 0, EntryB)));
  CHECK_EQUAL(0U, Driver.countStarts());
  CHECK_EQUAL(1U, Driver.list<close_link>().size());
}

TEST_GROUP(CompanionOrphans){};

TEST(CompanionOrphans, EntryWithoutALinkForTooLongLosesItsQueuedTasks) {
  driver Driver;
  Driver.announce(1);
  const link_id A = Driver.linkA();
  Driver.receive(A, makePlacement(makeTask(1)));
  Driver.receive(A, makePlacement(makeTask(2)));
  Driver.feed(link_closed{.Link = A});
  for (int Second = 0; Second < 11; ++Second) {
    Driver.pass(seconds(1));
    Driver.announce(1);
  }
  // The started task keeps its slot busy until the endpoint says that it ended.
  CHECK_EQUAL(1U, Driver.Core.getStatus().Load.Running);
  CHECK_EQUAL(0U, Driver.Core.getStatus().Load.Queued);
  Driver.clear();
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(0U, Driver.countStarts());
  CHECK_EQUAL(0U, Driver.Core.getStatus().Retained);
}

TEST(CompanionOrphans, NewIncarnationMeansThatTheOldOneIsGoneAtOnce) {
  driver Driver;
  Driver.announce(1);
  const link_id A = Driver.linkA();
  Driver.receive(A, makePlacement(makeTask(1)));
  Driver.receive(A, makePlacement(makeTask(2)));
  Driver.feed(entries_read{{AddressA, AddressB}});
  const link_id B = Driver.open(AddressB, EntryB, "entry-a");
  CHECK_EQUAL(1U, Driver.countEvents(event_kind::PeerReplaced));
  CHECK_EQUAL(0U, Driver.Core.getStatus().Load.Queued);
  Driver.receive(B, makePlacement(makeTask(1, 0, EntryB)));
  Driver.clear();
  Driver.feed(run_completed{.Task = makeTask(1)});
  const auto Starts = Driver.list<start_task>();
  CHECK_EQUAL(1U, Starts.size());
  CHECK_TRUE(Starts.front().Task == makeTask(1, 0, EntryB));
}

TEST(CompanionOrphans, DroppedTaskIsNeverRunWhenItsEntryReturns) {
  driver Driver;
  Driver.announce(1);
  const link_id A = Driver.linkA();
  Driver.receive(A, makePlacement(makeTask(1)));
  Driver.receive(A, makePlacement(makeTask(2)));
  Driver.feed(link_closed{.Link = A});
  Driver.pass(seconds(11));
  Driver.announce(1);
  const link_id New =
      Driver.open(AddressA, EntryA, "entry-a",
                  {resume_request{{makeTask(2)}}, makePlacement(makeTask(2))});
  CHECK_TRUE(std::holds_alternative<task_not_started>(
      Driver.listSent<task_ended>(New).front().End));
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(1U, Driver.countStarts());
}

// The living entry loses its queue and its ends by this, but what it hears of
// its tasks afterwards must be true, and none may run twice.
TEST(CompanionOrphans, ALateHelloOfAnEarlierIncarnationLeadsToNoFalseWord) {
  driver Driver;
  Driver.announce(1);
  const link_id A = Driver.linkA();
  for (const std::uint64_t Each : {1, 2, 3}) {
    Driver.receive(A, makePlacement(makeTask(Each)));
  }
  Driver.feed(run_completed{.Task = makeTask(1), .Output = payload("1")});
  Driver.feed(entries_read{{AddressA, AddressB}});
  const link_id Dead = Driver.open(AddressB, EntryB, "entry-a");
  CHECK_EQUAL(1U, Driver.countEvents(event_kind::PeerReplaced));
  Driver.feed(link_closed{.Link = Dead});
  Driver.pass(seconds(1));
  Driver.announce(1);
  CHECK_TRUE(Driver.findDial(AddressA) != A);
  const link_id New =
      Driver.open(AddressA, EntryA, "entry-a",
                  {resume_request{{makeTask(1), makeTask(2), makeTask(3)}},
                   makePlacement(makeTask(1)), makePlacement(makeTask(2)),
                   makePlacement(makeTask(3))});
  const std::vector<task_standing> Expected{
      {.Task = makeTask(2), .Place = task_place::Running}};
  CHECK_TRUE(Driver.listSent<resume_reply>(New).front().Standing == Expected);
  for (const task_ended &Each : Driver.listSent<task_ended>(New)) {
    const bool IsNotStarted =
        std::holds_alternative<task_not_started>(Each.End);
    CHECK_EQUAL(Each.Task == makeTask(3), IsNotStarted);
  }
  Driver.clear();
  Driver.feed(run_completed{.Task = makeTask(2), .Output = payload("2")});
  const auto Ends = Driver.listSent<task_ended>(New);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_completed>(Ends.front().End));
  CHECK_EQUAL(0U, Driver.countStarts());
}

// Guards against two runs of one task: a placement that was on its way on an
// earlier link begins although the entry has been told, on a newer one, that
// the task is unknown, and has placed it elsewhere.
TEST(CompanionOrphans, ALinkThatWasDialledBeforeThePresentOneCarriesNothing) {
  driver Driver;
  Driver.announce(1);
  Driver.feed(entries_read{{AddressA, AddressB}});
  const link_id Earlier = Driver.findDial(AddressA).value();
  Driver.feed(link_opened{Earlier});
  const link_id Later =
      Driver.open(AddressB, EntryA, "entry-a", {resume_request{{makeTask(1)}}});
  CHECK_EQUAL(1U, Driver.listSent<task_ended>(Later).size());
  Driver.receive(Later, acknowledge_ends{{makeTask(1)}});
  Driver.feed(envelope_received{
      .Link = Earlier,
      .Messages = {
          entry_hello{.Entry = {.Name = "entry-a", .Incarnation = EntryA},
                      .KnownEntries = {AddressA}},
          resume_request{}, makePlacement(makeTask(1))}});
  CHECK_EQUAL(0U, Driver.countStarts());
}
