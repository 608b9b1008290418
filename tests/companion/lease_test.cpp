#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

namespace {

constexpr duration Lease = milliseconds(300);

options makeLeased() {
  options Options = makeOptions();
  Options.EntryLease = Lease;
  Options.AwaitEndpoint = true;
  Options.HeartbeatInterval = milliseconds(80);
  Options.IdleHeartbeatInterval = milliseconds(400);
  Options.SilenceLimit = seconds(5);
  Options.RedialInterval = milliseconds(40);
  return Options;
}

} // namespace

TEST_GROUP(Lease) {
  driver Driver{makeLeased()};
  link_id Link{};

  void setup() override {
    Driver.feed(entries_read{.Entries = {AddressA}});
    CHECK_TRUE(Driver.list<dial_entry>().empty());
    Driver.feed(endpoint_settled{});
    Link = Driver.list<dial_entry>().front().Link;
    Driver.feed(link_opened{.Link = Link});
    Driver.feed(endpoint_announced{
        .Announcement = {.Name = "runner",
                         .Address = {.Host = "127.0.0.1", .Port = 9000},
                         .Offer = {.State = endpoint_state::Serving,
                                   .Classes = {"pool"},
                                   .Slots = 8,
                                   .MemoryBytes = 1U << 30U,
                                   .MilliCores = 16'000}}});
    receive({entry_hello{.Entry = {.Name = "entry-a", .Incarnation = EntryA},
                         .Zone = "asolo"}});
  }

  void receive(std::vector<peer_message> Messages) {
    Driver.feed(
        envelope_received{.Link = Link, .Messages = std::move(Messages)});
  }
  void grant() { receive({lease_grant{.At = Driver.Now.time_since_epoch()}}); }
  place_task makeLeasedPlacement(std::uint64_t Sequence,
                                 std::uint32_t MilliCores = 1'600) {
    place_task Placement = makePlacement(makeTask(Sequence));
    Placement.Pool = "pool";
    Placement.RunName = "job";
    Placement.Needs.MilliCores = MilliCores;
    return Placement;
  }
  std::size_t countStarts() { return Driver.list<start_task>().size(); }
  std::size_t countStops() { return Driver.list<stop_task>().size(); }
};

TEST(Lease, WithoutAGrantNothingStarts) {
  receive({makeLeasedPlacement(1)});
  CHECK_EQUAL(0U, countStarts());
}

TEST(Lease, AGrantedTaskStartsAndIsStoppedWhenTheLeaseEnds) {
  grant();
  receive({makeLeasedPlacement(1)});
  CHECK_EQUAL(1U, countStarts());
  Driver.pass(Lease - milliseconds(50));
  CHECK_EQUAL(0U, countStops());
  Driver.pass(milliseconds(100));
  CHECK_EQUAL(1U, countStops());
}

TEST(Lease, AnOldGrantThatArrivesLateRenewsNothing) {
  const duration Old = Driver.Now.time_since_epoch();
  grant();
  receive({makeLeasedPlacement(1)});
  Driver.Now += Lease * 2;
  // As after a suspension: what was on the way is read before the timers run.
  receive({lease_grant{.At = Old}, makeLeasedPlacement(2)});
  CHECK_EQUAL(1U, countStarts());
  CHECK_EQUAL(1U, countStops());
}

// Guards against a lease that is too long, by a stamp of an earlier life of the
// companion, whose clock was ahead.
TEST(Lease, AGrantForAStampThatIsStillToComeVouchesForNothing) {
  const duration Ahead = Driver.Now.time_since_epoch() + Lease * 3;
  receive({lease_grant{.At = Ahead}, makeLeasedPlacement(1)});
  CHECK_EQUAL(0U, countStarts());
  grant();
  CHECK_EQUAL(1U, countStarts());
  receive({lease_grant{.At = Ahead}});
  Driver.pass(Lease + milliseconds(50));
  CHECK_EQUAL(1U, countStops());
}

TEST(Lease, ATaskOnALinkThatWasIdleAsksForALeaseAndStartsWithIt) {
  grant();
  Driver.pass(Lease * 2);
  const std::size_t Asked = Driver.listSent<lease_request>(Link).size();
  receive({makeLeasedPlacement(1)});
  CHECK_EQUAL(0U, countStarts());
  CHECK_EQUAL(Asked + 1, Driver.listSent<lease_request>(Link).size());
  grant();
  CHECK_EQUAL(1U, countStarts());
}

TEST(Lease, ATaskThatGetsNoLeaseIsGivenBackAndNeverStarts) {
  receive({makeLeasedPlacement(1)});
  Driver.pass(Lease - milliseconds(50));
  CHECK_FALSE(Driver.findGivenBack(Link).has_value());
  Driver.pass(milliseconds(100));
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Withdrawn);
  grant();
  CHECK_EQUAL(0U, countStarts());
}

// Guards against a task that starts with the lease of a new link although its
// entry has given it up with the old one.
TEST(Lease, ATaskThatTheNewLinkDoesNotNameNeverStarts) {
  Driver.pass(Lease * 2);
  receive({makeLeasedPlacement(1)});
  CHECK_EQUAL(0U, countStarts());
  Driver.feed(link_closed{.Link = Link});
  // Longer than the pause before the next dial, shorter than the lease.
  Driver.pass(milliseconds(100));
  CHECK_TRUE(Driver.findDial(AddressA) != Link);
  Link = *Driver.findDial(AddressA);
  Driver.feed(link_opened{.Link = Link});
  receive({entry_hello{.Entry = {.Name = "entry-a", .Incarnation = EntryA},
                       .Zone = "asolo"},
           resume_request{}, lease_grant{.At = Driver.Now.time_since_epoch()}});
  Driver.pass(Lease / 2);
  CHECK_EQUAL(0U, countStarts());
}

TEST(Lease, TasksOfAnEntryWithoutALeaseDontHoldUpThoseOfOthers) {
  receive({makeLeasedPlacement(1)});
  Driver.feed(entries_read{.Entries = {AddressA, AddressB}});
  const link_id Other = Driver.open(AddressB, EntryB, "entry-b");
  Driver.feed(envelope_received{
      .Link = Other,
      .Messages = {lease_grant{.At = Driver.Now.time_since_epoch()}}});
  place_task Placement = makeLeasedPlacement(2);
  Placement.Task.Job.Entry = EntryB;
  Driver.feed(envelope_received{.Link = Other, .Messages = {Placement}});
  CHECK_EQUAL(1U, countStarts());
}

TEST(Lease, LinksWithoutWorkAreQuiet) {
  Driver.clear();
  Driver.pass(seconds(2));
  const std::size_t Quiet = Driver.listSent<companion_heartbeat>(Link).size();
  CHECK_TRUE(Quiet >= 4 && Quiet <= 5);
  Driver.clear();
  receive({lease_grant{.At = Driver.Now.time_since_epoch()},
           makeLeasedPlacement(1)});
  for (int Each = 0; Each < 10; ++Each) {
    Driver.pass(milliseconds(100));
    grant();
  }
  CHECK_TRUE(Driver.listSent<companion_heartbeat>(Link).size() >= 9);
}

TEST(Lease, TasksTakeTheProcessorThatTheyDeclare) {
  grant();
  std::vector<peer_message> Placements;
  for (std::uint64_t Each = 1; Each <= 12; ++Each) {
    Placements.emplace_back(makeLeasedPlacement(Each));
  }
  receive(std::move(Placements));
  CHECK_EQUAL(10U, countStarts());
  Driver.feed(run_stopped{.Task = makeTask(1), .Reason = "stopped"});
  CHECK_EQUAL(11U, countStarts());
}

TEST(Lease, ARunOverItsLimitIsStopped) {
  grant();
  place_task Placement = makeLeasedPlacement(1);
  Placement.RunLimit = milliseconds(100);
  receive({Placement});
  Driver.pass(milliseconds(150));
  CHECK_EQUAL(1U, countStops());
  Driver.feed(run_stopped{.Task = makeTask(1), .Reason = "stopped"});
  const auto Ends = Driver.listSent<task_ended>(Link);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::get<task_stopped>(Ends.front().End).Overdue);
}

TEST(Lease, ATaskThatNeverFitsIsGivenBack) {
  grant();
  receive({makeLeasedPlacement(1, 20'000)});
  CHECK_EQUAL(0U, countStarts());
}
