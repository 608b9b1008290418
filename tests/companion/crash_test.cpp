// Crashes of the endpoint are counted for the tasks on it, and every entry
// hears of them.
#include "companion_fixture.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::companion;

namespace {

crashed_task makeCrashed(std::uint32_t Index, std::uint32_t Crashes = 0,
                         const std::string &RunName = "5c0e7a21d94b36f8") {
  return {.RunName = RunName,
          .Index = Index,
          .Class = "pivot-check",
          .Crashes = Crashes};
}

} // namespace

TEST_GROUP(CompanionCrashes) {
  driver Driver;
  link_id Link{};

  void setup() override {
    Driver.announce(4);
    Link = Driver.linkA();
    Driver.clear();
  }

  void crash(std::vector<crashed_task> Tasks) {
    Driver.feed(endpoint_crashed{.Tasks = std::move(Tasks)});
  }

  /// \returns what the entry has been told since the last clear().
  std::vector<crashed_task> listTold(link_id To) {
    std::vector<crashed_task> Tasks;
    for (const crash_report &Report : Driver.listSent<crash_report>(To)) {
      Tasks.insert(Tasks.end(), Report.Tasks.begin(), Report.Tasks.end());
    }
    return Tasks;
  }
  std::vector<crashed_task> listTold() { return listTold(Link); }

  /// Opens a link of another entry.
  link_id linkB() {
    Driver.feed(entries_read{{AddressA, AddressB}});
    return Driver.open(AddressB, EntryB, "entry-b");
  }
};

TEST(CompanionCrashes, ACrashCountsForAllThatRanIfNothingIsKnown) {
  crash({makeCrashed(1), makeCrashed(2)});
  const std::vector<crashed_task> Expected{makeCrashed(1, 1),
                                           makeCrashed(2, 1)};
  CHECK_TRUE(listTold() == Expected);
}

// Guards against a deadly task whose crash counts for a sound suspect beside it
// and not for itself.
TEST(CompanionCrashes, ACrashCountsForAllWhateverIsKnownOfThem) {
  crash({makeCrashed(1), makeCrashed(2, 1), makeCrashed(3, AloneCrashes)});
  const std::vector<crashed_task> Expected{makeCrashed(1, 1),
                                           makeCrashed(2, AloneCrashes),
                                           makeCrashed(3, AloneCrashes)};
  CHECK_TRUE(listTold() == Expected);
}

// Guards against sound tasks that were beside a deadly one twice or more often,
// and were given up with it.
TEST(CompanionCrashes, CrashesBesideOthersNeverGiveATaskUp) {
  for (std::uint32_t Deadly = 2; Deadly < 8; ++Deadly) {
    crash({makeCrashed(1), makeCrashed(Deadly, 1)});
  }
  for (const crashed_task &Each : listTold()) {
    CHECK_TRUE(Each.Crashes < FatalCrashes);
  }
}

TEST(CompanionCrashes, TheSecondCrashUnderATaskThatRanAloneGivesItUp) {
  crash({makeCrashed(1, 1)});
  const std::vector<crashed_task> Expected{makeCrashed(1, FatalCrashes)};
  CHECK_TRUE(listTold() == Expected);
}

TEST(CompanionCrashes, ACrashBesideAStartWithoutAnAnswerIsShared) {
  Driver.feed(
      endpoint_crashed{.Tasks = {makeCrashed(1, 1)}, .MayHaveOthers = true});
  const std::vector<crashed_task> Expected{makeCrashed(1, AloneCrashes)};
  CHECK_TRUE(listTold() == Expected);
}

// Guards against a task that shares each of its crashes with sound ones and is
// never given up.
TEST(CompanionCrashes, ATaskWithTwoCrashesRunsAlone) {
  place_task Suspect = makePlacement(makeTask(2));
  Suspect.Crashes = AloneCrashes;
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.receive(Link, Suspect);
  Driver.receive(Link, makePlacement(makeTask(3)));
  CHECK_EQUAL(1U, Driver.countStarts());
  Driver.feed(run_completed{.Task = makeTask(1)});
  CHECK_EQUAL(2U, Driver.countStarts());
  CHECK_TRUE(makeTask(2) == Driver.list<start_task>().back().Task);
  Driver.feed(run_completed{.Task = makeTask(2)});
  CHECK_EQUAL(3U, Driver.countStarts());
}

TEST(CompanionCrashes, CrashesAddUpWhateverThePlacementNames) {
  crash({makeCrashed(1)});
  Driver.clear();
  crash({makeCrashed(1), makeCrashed(2)});
  const std::vector<crashed_task> Expected{makeCrashed(1, 2),
                                           makeCrashed(2, 1)};
  CHECK_TRUE(listTold() == Expected);
}

TEST(CompanionCrashes, TasksOfOneIndexInTwoJobsAreTold) {
  crash({makeCrashed(1)});
  Driver.clear();
  crash({makeCrashed(1, 0, "another")});
  const std::vector<crashed_task> Expected{makeCrashed(1, 1, "another")};
  CHECK_TRUE(listTold() == Expected);
}

TEST(CompanionCrashes, TheReportPrecedesTheEndsInTheSameEnvelope) {
  Driver.receive(Link, makePlacement(makeTask(1)));
  Driver.clear();
  Driver.Core.handle(Driver.Now, endpoint_crashed{.Tasks = {makeCrashed(0)}},
                     Driver.Actions);
  Driver.feed(run_stopped{.Task = makeTask(1), .Reason = "restarted"});
  const auto Sent = Driver.list<send_messages>();
  CHECK_EQUAL(1U, Sent.size());
  CHECK_TRUE(std::holds_alternative<crash_report>(Sent.front().Messages.at(0)));
  CHECK_TRUE(std::holds_alternative<task_ended>(Sent.front().Messages.at(1)));
}

TEST(CompanionCrashes, AllEntriesHearOfACrash) {
  const link_id Other = linkB();
  Driver.clear();
  crash({makeCrashed(1)});
  CHECK_EQUAL(1U, listTold(Link).size());
  CHECK_EQUAL(1U, listTold(Other).size());
}

// Guards against counts that are lost with the entry that held them.
TEST(CompanionCrashes, AnEntryThatLinksLaterHearsOfEarlierCrashes) {
  crash({makeCrashed(1)});
  crash({makeCrashed(1)});
  const link_id Other = linkB();
  const std::vector<crashed_task> Expected{makeCrashed(1, FatalCrashes)};
  CHECK_TRUE(listTold(Other) == Expected);
}

TEST(CompanionCrashes, WithoutCrashesNothingIsTold) {
  crash({});
  linkB();
  for (const send_messages &Sent : Driver.list<send_messages>()) {
    for (const peer_message &Message : Sent.Messages) {
      CHECK_FALSE(std::holds_alternative<crash_report>(Message));
    }
  }
}

TEST(CompanionCrashes, OldCrashesAreForgotten) {
  crash({makeCrashed(1)});
  Driver.Now += std::chrono::minutes(11);
  Driver.clear();
  CHECK_EQUAL(0U, listTold(linkB()).size());
}

TEST(CompanionCrashes, TheNumberRememberedIsBounded) {
  constexpr std::uint32_t Many = 400;
  for (std::uint32_t Index = 0; Index < Many; ++Index) {
    Driver.Now += milliseconds(1);
    crash({makeCrashed(Index)});
  }
  const std::vector<crashed_task> Told = listTold(linkB());
  CHECK_EQUAL(256U, Told.size());
  // The latest are kept.
  CHECK_EQUAL(Many - 256, Told.front().Index);
}

TEST(CompanionCrashes, EachCrashIsLogged) {
  crash({makeCrashed(1), makeCrashed(2, 1)});
  CHECK_EQUAL(1U, Driver.countEvents(event_kind::EndpointCrashed));
  const timeline_event Event = Driver.list<record_event>().front().Event;
  CHECK_EQUAL(2, Event.Value);
  STRCMP_EQUAL("runner-1", Event.Peer.c_str());
  STRCMP_EQUAL("counted for task 1 of 5c0e7a21d94b36f8 (1), task 2 of "
               "5c0e7a21d94b36f8 (2)",
               Event.Reason.c_str());
}
