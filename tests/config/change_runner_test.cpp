#include <crocuswood/config.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::config;

namespace {

change teamChange(std::optional<std::uint64_t> Expected = std::nullopt) {
  return {.Id = "mine",
          .ExpectedRevision = Expected,
          .Operation = set_team{{.Name = "team", .TaskStartsPerSecond = 5}}};
}

head_read headAt(std::uint64_t Revision,
                 const std::string &ChangeId = "other") {
  return {.Configuration = {.Revision = Revision, .ChangeId = ChangeId},
          .Version = "v" + std::to_string(Revision)};
}

bool wrote(const change_step &Step, std::uint64_t Revision,
           const std::string &Version) {
  const auto *Write = std::get_if<write_head>(&Step);
  return Write != nullptr && Write->Configuration.Revision == Revision &&
         Write->Version == Version && Write->Configuration.ChangeId == "mine";
}

bool reads(const change_step &Step) {
  return std::holds_alternative<read_head>(Step);
}

bool unavailable(const change_step &Step, bool Certain) {
  const auto *End = std::get_if<change_unavailable>(&Step);
  return End != nullptr && End->Certain == Certain;
}

} // namespace

TEST_GROUP(ChangeRunner){};

TEST(ChangeRunner, WritesTheNextRevision) {
  change_runner Runner(teamChange());
  CHECK_TRUE(reads(Runner.start()));
  CHECK_TRUE(wrote(Runner.next(head_read{}), 1, ""));
  const change_step End = Runner.next(write_done{});
  CHECK_EQUAL(1U, std::get<change_accepted>(End).Configuration.Revision);
}

TEST(ChangeRunner, LostAnswerOfAWriteThatTookEffectIsAccepted) {
  change_runner Runner(teamChange());
  Runner.start();
  Runner.next(headAt(4));
  CHECK_TRUE(reads(Runner.next(write_unknown{})));
  const change_step End = Runner.next(headAt(5, "mine"));
  CHECK_EQUAL(5U, std::get<change_accepted>(End).Configuration.Revision);
}

TEST(ChangeRunner, LostWriteIsRepeatedOnTheSameVersion) {
  change_runner Runner(teamChange(4));
  Runner.start();
  Runner.next(headAt(4));
  Runner.next(write_unknown{});
  CHECK_TRUE(wrote(Runner.next(headAt(4)), 5, "v4"));
  // The first write took effect after all, so the second meets a conflict.
  CHECK_TRUE(reads(Runner.next(write_conflict{})));
  CHECK_TRUE(
      std::holds_alternative<change_accepted>(Runner.next(headAt(5, "mine"))));
}

TEST(ChangeRunner, LostAnswerBeforeOthersChangesIsUncertain) {
  change_runner Runner(teamChange());
  Runner.start();
  Runner.next(headAt(4));
  Runner.next(write_unknown{});
  CHECK_TRUE(unavailable(Runner.next(headAt(6)), false));
}

TEST(ChangeRunner, ConflictIsRetriedOnTheNewHead) {
  change_runner Runner(teamChange());
  Runner.start();
  Runner.next(headAt(4));
  CHECK_TRUE(reads(Runner.next(write_conflict{})));
  CHECK_TRUE(wrote(Runner.next(headAt(5)), 6, "v5"));
}

TEST(ChangeRunner, LostAnswerOverTakenByAnotherChangeIsRetried) {
  change_runner Runner(teamChange());
  Runner.start();
  Runner.next(headAt(4));
  Runner.next(write_unknown{});
  CHECK_TRUE(wrote(Runner.next(headAt(5)), 6, "v5"));
  CHECK_TRUE(unavailable(Runner.next(write_refused{}), true));
}

TEST(ChangeRunner, ExpectedRevisionMakesAConflict) {
  change_runner Runner(teamChange(4));
  Runner.start();
  Runner.next(headAt(4));
  Runner.next(write_conflict{});
  const change_step End = Runner.next(headAt(5));
  CHECK_EQUAL(5U, std::get<change_conflict>(End).CurrentRevision);
}

TEST(ChangeRunner, RevisionsGrowOverAnyAnswers) {
  for (std::uint64_t Revision = 0; Revision < 50; ++Revision) {
    change_runner Runner(teamChange());
    Runner.start();
    const change_step Step = Runner.next(headAt(Revision));
    CHECK_EQUAL(Revision + 1,
                std::get<write_head>(Step).Configuration.Revision);
  }
}

TEST(ChangeRunner, AttemptsAreBounded) {
  change_runner Runner(teamChange(), 3);
  change_step Step = Runner.start();
  for (std::uint64_t Revision = 1; reads(Step); ++Revision) {
    CHECK_TRUE(Revision <= 3);
    CHECK_TRUE(wrote(Runner.next(headAt(Revision)), Revision + 1,
                     "v" + std::to_string(Revision)));
    Step = Runner.next(write_conflict{});
  }
  CHECK_TRUE(unavailable(Step, true));
}

TEST(ChangeRunner, UnreachableStoreIsCertainBeforeAWriteOnly) {
  change_runner Before(teamChange());
  Before.start();
  CHECK_TRUE(unavailable(Before.next(head_read_failed{}), true));
  change_runner After(teamChange(), 2);
  After.start();
  After.next(headAt(1));
  CHECK_TRUE(reads(After.next(write_unknown{})));
  CHECK_TRUE(unavailable(After.next(head_read_failed{}), false));
}

TEST(ChangeRunner, RemovalOfAnUnknownNameIsInvalid) {
  change_runner Runner({.Id = "mine", .Operation = remove_class{"absent"}});
  Runner.start();
  const change_step End = Runner.next(headAt(2));
  CHECK_EQUAL(1U, std::get<change_invalid>(End).Findings.size());
}
