#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

TEST_GROUP(CompanionTasks) {
  driver Driver;

  link_id prepare(std::uint32_t Slots) {
    Driver.announce(Slots);
    const link_id Link = Driver.linkA();
    Driver.clear();
    return Link;
  }
};

TEST(CompanionTasks, PlacedTaskStartsAndItsEndCarriesTheLoad) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(1U, Driver.countStarts());
  Driver.Now += milliseconds(70);
  Driver.feed(
      run_completed{.Task = makeTask(1), .Output = payload("\"seated\"")});
  const auto Ends = Driver.listSent<task_ended>(Link);
  CHECK_EQUAL(1U, Ends.size());
  const auto &End = std::get<task_completed>(Ends.front().End);
  CHECK_TRUE(End.Output == payload("\"seated\""));
  CHECK_TRUE(End.RunTime == milliseconds(70));
  CHECK_EQUAL(0U, Ends.front().Load.Running);
  CHECK_TRUE(Ends.front().Load.Sequence > 0);
}

TEST(CompanionTasks, LeastSlackStartsFirst) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2), milliseconds(500)));
  Driver.receive(Link, makePlacement(makeTask(3), milliseconds(10)));
  Driver.clear();
  Driver.feed(run_completed{.Task = makeTask(1)});
  const auto Starts = Driver.list<start_task>();
  CHECK_EQUAL(1U, Starts.size());
  CHECK_TRUE(Starts.front().Task == makeTask(3));
}

TEST(CompanionTasks, PlacedTwiceStartsOnce) {
  const link_id Link = prepare(2);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.feed(run_completed{.Task = makeTask(1)});
  Driver.receive(Link, acknowledge_ends{{makeTask(1)}});
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(1U, Driver.countStarts());
  CHECK_EQUAL(2U, Driver.countEvents(event_kind::TaskDuplicate));
}

TEST(CompanionTasks, TaskOlderThanTheWindowIsRefusedAndNeverRun) {
  const link_id Link = prepare(1);
  constexpr std::uint64_t MoreThanTheWindow = 70'000;
  options Options = makeOptions();
  for (std::uint64_t Sequence = 2; Sequence < MoreThanTheWindow; ++Sequence) {
    // The endpoint does not run this class, so the task is given back at once.
    place_task Placement = makePlacement(makeTask(Sequence));
    Placement.Class = "bale-grade";
    Driver.receive(Link, std::move(Placement));
    Driver.receive(Link, acknowledge_ends{{makeTask(Sequence)}});
    Driver.clear();
  }
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(0U, Driver.countStarts());
  const auto Ends = Driver.listSent<task_ended>(Link);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_lost>(Ends.front().End));
}

TEST(CompanionTasks, DeadlinePassedInTheQueueIsNotStarted) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  place_task Placement = makePlacement(makeTask(2));
  Placement.Deadline = milliseconds(200);
  Driver.receive(Link, std::move(Placement));
  Driver.clear();
  Driver.pass(milliseconds(250));
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::DeadlinePassed);
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(0U, Driver.countStarts());
}

TEST(CompanionTasks, WithdrawnInTheQueueIsGivenBackAndNeverStarts) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.clear();
  Driver.receive(Link, withdraw_tasks{{makeTask(2)}});
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Withdrawn);
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(0U, Driver.countStarts());
}

TEST(CompanionTasks, GivenBackAndAcknowledgedMayBePlacedAgain) {
  const link_id Link = prepare(1);
  Driver.announce(1, endpoint_state::Leaving);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.announce(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(0U, Driver.countStarts());
  Driver.receive(Link, acknowledge_ends{{makeTask(1)}});
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(1U, Driver.countStarts());
  Driver.receive(Link, acknowledge_ends{{makeTask(1)}});
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(1U, Driver.countStarts());
}

TEST(CompanionTasks,
     WithdrawnWhileRunningIsStoppedOnceAndEndsAsTheEndpointSays) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, withdraw_tasks{{makeTask(1)}});
  Driver.receive(Link, withdraw_tasks{{makeTask(1)}});
  CHECK_EQUAL(1U, Driver.list<stop_task>().size());
  CHECK_EQUAL(0U, Driver.listSent<task_ended>(Link).size());
  Driver.feed(run_failed{.Task = makeTask(1), .Reason = "stopped"});
  const auto Ends = Driver.listSent<task_ended>(Link);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_failed>(Ends.front().End));
}

TEST(CompanionTasks, WithdrawalOfAnUnknownTaskForbidsItsLaterStart) {
  const link_id Link = prepare(1);
  Driver.receive(Link, withdraw_tasks{{makeTask(1)}});
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Unknown);
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_EQUAL(0U, Driver.countStarts());
}

TEST(CompanionTasks, FullQueueGivesBack) {
  options Options = makeOptions();
  Options.MaxQueuedTasks = 1;
  driver Small(Options);
  Small.announce(1);
  const link_id Link = Small.linkA();
  for (std::uint64_t Sequence = 1; Sequence <= 3; ++Sequence) {
    Small.receive(Link, makePlacement(makeTask(Sequence)));
  }
  CHECK_TRUE(Small.findGivenBack(Link) == not_started_reason::Full);
}

TEST(CompanionTasks, NewTasksAreGivenBackWhileTooManyBytesAreRetained) {
  options Options = makeOptions();
  Options.MaxRetainedBytes = 1'000;
  driver Small(Options);
  Small.announce(1);
  const link_id Link = Small.linkA();
  Small.receive(Link, makePlacement(makeTask(1)));
  Small.feed(run_completed{.Task = makeTask(1),
                           .Output = payload(std::string(2'000, 'x'))});
  Small.clear();
  Small.receive(Link, makePlacement(makeTask(2)));
  CHECK_TRUE(Small.findGivenBack(Link) == not_started_reason::Full);
  Small.receive(Link, acknowledge_ends{{makeTask(1), makeTask(2)}});
  Small.receive(Link, makePlacement(makeTask(3)));
  CHECK_EQUAL(1U, Small.countStarts());
}

TEST(CompanionTasks, ClassThatTheEndpointLacksIsUnsupported) {
  const link_id Link = prepare(1);
  place_task Placement = makePlacement(makeTask(1));
  Placement.Class = "bale-grade";
  Driver.receive(Link, std::move(Placement));
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Unsupported);
}

TEST(CompanionTasks, ClassThatNeedsMoreMemoryThanOfferedIsUnsupported) {
  const link_id Link = prepare(1);
  configuration Configuration{.Revision = 1};
  Configuration.Classes["pivot-check"] = {.Name = "pivot-check",
                                          .MemoryBytes = 1};
  Driver.feed(configuration_read{Configuration});
  Driver.receive(Link, makePlacement(makeTask(1)));
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Unsupported);
}

TEST(CompanionTasks, NotReachedProvesThatTheTaskDidNotRun) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.clear();
  Driver.feed(run_not_reached{.Task = makeTask(1), .Reason = "refused"});
  CHECK_TRUE(Driver.findGivenBack(Link) == not_started_reason::Unreachable);
  // Nothing more starts there until the endpoint announces itself again.
  Driver.receive(Link, makePlacement(makeTask(2)));
  CHECK_EQUAL(0U, Driver.countStarts());
  Driver.announce(1);
  Driver.receive(Link, makePlacement(makeTask(3)));
  CHECK_EQUAL(1U, Driver.countStarts());
}

TEST(CompanionTasks, LostRunIsReportedAsLostAndFreesItsSlot) {
  const link_id Link = prepare(1);
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, makePlacement(makeTask(2)));
  Driver.clear();
  Driver.feed(run_lost{.Task = makeTask(1), .Reason = "reset"});
  const auto Ends = Driver.listSent<task_ended>(Link);
  CHECK_EQUAL(1U, Ends.size());
  CHECK_TRUE(std::holds_alternative<task_lost>(Ends.front().End));
  CHECK_EQUAL(1U, Driver.countStarts());
}

TEST(CompanionTasks, FreeSlotIsReportedOnlyToAnotherEntryWithABacklog) {
  Driver.announce(1);
  Driver.feed(entries_read{{AddressA, AddressB}});
  const link_id A = Driver.open(AddressA, EntryA, "entry-a");
  const link_id B = Driver.open(AddressB, EntryB, "entry-b");
  Driver.receive(A, makePlacement(makeTask(1)));
  place_task Placement = makePlacement(makeTask(1, 0, EntryB));
  Placement.Backlog = 3;
  Driver.receive(B, std::move(Placement));
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(0U, Driver.listSent<load_report>(B).size());
  // B hears of its own end; nothing is reported twice.
  Driver.feed(run_completed{.Task = makeTask(1, 0, EntryB)});
  CHECK_EQUAL(0U, Driver.listSent<load_report>(B).size());
  Driver.receive(A, makePlacement(makeTask(2)));
  Driver.feed(run_completed{.Task = makeTask(2)});
  CHECK_EQUAL(1U, Driver.listSent<load_report>(B).size());
  CHECK_EQUAL(0U, Driver.listSent<load_report>(A).size());
}
