#include <crocuswood/model.h>

#include <set>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

TEST_GROUP(Ids){};

TEST(Ids, TextOfTaskIdParsesBack) {
  const task_id Task{.Job = {.Entry = incarnation{0xab12}, .Sequence = 77},
                     .Index = 1299};
  CHECK_EQUAL(std::string("000000000000ab12-77.1299"), toString(Task));
  CHECK_TRUE(parseTaskId(toString(Task)) == Task);
}

TEST(Ids, MalformedTextsAreRefused) {
  for (const char *Text :
       {"", "-", "ab-1.0", "000000000000ab12-", "000000000000ab12-1.", "x.1",
        "000000000000ab12-1.5x", "000000000000ab12-99999999999999999999.1"}) {
    CHECK_FALSE(parseTaskId(Text).has_value());
  }
}

TEST(Ids, HashesOfNeighboursDiffer) {
  std::set<std::size_t> Seen;
  for (std::uint32_t Index = 0; Index < MaxTasksPerJob; ++Index) {
    Seen.insert(hashValue(task_id{
        .Job = {.Entry = incarnation{1}, .Sequence = 1}, .Index = Index}));
  }
  CHECK_EQUAL(MaxTasksPerJob, Seen.size());
}

TEST_GROUP(Names){};

TEST(Names, EveryEventKindParsesBack) {
  for (std::size_t Value = 0; Value < EventKindCount; ++Value) {
    const auto Kind = static_cast<event_kind>(Value);
    CHECK_TRUE(parseEventKind(toString(Kind)) == Kind);
  }
  CHECK_FALSE(parseEventKind("no_such_kind").has_value());
}

TEST(Names, EveryFailureCodeParsesBack) {
  for (int Value = 0; Value <= static_cast<int>(failure_code::Stopping);
       ++Value) {
    const auto Code = static_cast<failure_code>(Value);
    CHECK_TRUE(parseFailureCode(toString(Code)) == Code);
  }
}

TEST_GROUP(Digests){};

TEST(Digests, TaskBoundariesCount) {
  const job_request Joined{
      .Class = "a", .Team = "t", .Tasks = {{.Input = payload("xy")}}};
  const job_request Split{
      .Class = "a",
      .Team = "t",
      .Tasks = {{.Input = payload("x")}, {.Input = payload("y")}}};
  CHECK_TRUE(digest(Joined) != digest(Split));
}
