#include <crocuswood/replay.h>
#include <crocuswood/timeline.h>

#include <string>
#include <variant>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

namespace {

const std::string Header =
    R"({"trace":"test","seed":3,"fleet":{"entries":[{"count":2,"zones":["a","b"]}],)"
    R"("companions":[{"count":2,"zones":["a","b"],"slots":2,"classes":["pivot-check"]}]},)"
    R"("configuration":{"revision":1,"change_id":"first","classes":[{"name":"pivot-check",)"
    R"("answer_within":"2s","quantile":0.99,"refuse_at_most":0,"idempotent":true}],)"
    R"("teams":[{"name":"team"}]}})"
    "\n";

const std::string Submit =
    R"({"at":"3s","do":"submit","class":"pivot-check","count":20,"every":"10ms"})"
    "\n";

replay::trace parseTrace(const std::string &Text) {
  return std::get<replay::trace>(replay::parse(Text, "test"));
}

findings findFaults(const std::string &Text) {
  return std::get<findings>(replay::parse(Text, "test"));
}

std::string writeTimeline(const std::string &Text) {
  std::string Written;
  for (const timeline_event &Event :
       replay::run(parseTrace(Text), {}).Timeline) {
    Written += timeline::writeJson(Event) + "\n";
  }
  return Written;
}

std::size_t countFailed(const replay::run_result &Result) {
  std::size_t Failed = 0;
  for (const replay::outcome_result &Outcome : Result.Outcomes) {
    Failed += Outcome.Passed ? 0 : 1;
  }
  return Failed;
}

} // namespace

TEST_GROUP(Traces){};

TEST(Traces, EveryFaultIsReportedWithItsLine) {
  const findings Found =
      findFaults(Header + R"({"at":"soon","do":"kill","what":"entry-9"})"
                          "\n"
                          R"({"at":"1s","do":"submit","clas":"pivot-check"})"
                          "\n"
                          "no json\n");
  CHECK_EQUAL(5U, Found.size());
  CHECK_EQUAL(2U, Found[0].Line);
  CHECK_EQUAL(std::string("at"), Found[0].Path);
  CHECK_EQUAL(std::string("what"), Found[1].Path);
  CHECK_EQUAL(3U, Found[2].Line);
  CHECK_EQUAL(4U, Found[4].Line);
}

TEST(Traces, HeaderMustComeFirst) {
  CHECK_EQUAL(2U, findFaults(Submit).size());
  CHECK_EQUAL(1U, findFaults("").size());
}

TEST_GROUP(Replay){};

TEST(Replay, EqualSeedsGiveTheSameBytes) {
  const std::string Faults =
      R"({"at":"3050ms","do":"link","mode":"silence"})"
      "\n"
      R"({"at":"3100ms","do":"kill","what":"companion-1"})"
      "\n"
      R"({"at":"4s","do":"start","what":"companion-1"})"
      "\n";
  const std::string First = writeTimeline(Header + Submit + Faults);
  CHECK_TRUE(First == writeTimeline(Header + Submit + Faults));
  std::string Other = Header;
  Other.replace(Other.find("\"seed\":3"), 8, "\"seed\":4");
  CHECK_TRUE(First != writeTimeline(Other + Submit + Faults));
}

TEST(Replay, OutcomesThatAreNotMetFail) {
  const replay::run_result Result =
      replay::run(parseTrace(Header + Submit +
                             R"({"expect":"completed","is":20})"
                             "\n"
                             R"({"expect":"completed","is":19})"
                             "\n"
                             R"({"expect":"no_such_metric","is":1})"
                             "\n"),
                  {});
  CHECK_TRUE(Result.Outcomes[0].Passed);
  CHECK_FALSE(Result.Outcomes[1].Passed);
  CHECK_FALSE(Result.Outcomes[2].Passed);
  CHECK_EQUAL(2U, countFailed(Result));
}

TEST(Replay, RequestThatNeverEndsIsSeen) {
  // A frozen endpoint never ends its tasks; thawing comes too late.
  const replay::run_result Result = replay::run(
      parseTrace(Header + R"({"at":"1s","do":"freeze","what":"runner-1"})"
                          "\n"
                          R"({"at":"1s","do":"freeze","what":"runner-2"})"
                          "\n"
                          R"({"at":"2s","do":"submit","class":"pivot-check"})"
                          "\n"),
      {});
  CHECK_TRUE(countFailed(Result) >= 1);
}

TEST(Replay, BoundPaysThePathAndTheRunTimeAlone) {
  const replay::bound_result Bound = replay::computeBound(
      parseTrace(Header + R"({"at":"1s","do":"submit","class":"pivot-check"})"
                          "\n"));
  // 100 ms of run time, 3 ms to and from the client, 250 us to and from the
  // companion.
  DOUBLES_EQUAL(1.065, Bound.StretchP50, 1e-9);
}

TEST(Replay, NothingBeatsTheBound) {
  const replay::trace Trace = parseTrace(
      Header +
      R"({"at":"3s","do":"load","jobs":500,"load":0.8,"mix":[)"
      R"({"class":"pivot-check","run_time":{"from":"50ms","to":"1s"}}]})"
      "\n");
  const replay::bound_result Bound = replay::computeBound(Trace);
  const replay::run_result Result = replay::run(Trace, {});
  CHECK_TRUE(Result.StretchP50 >= Bound.StretchP50);
  CHECK_TRUE(Result.StretchP99 >= Bound.StretchP99);
}

TEST_GROUP(Schedules){};

TEST(Schedules, SeedsGiveValidTracesThatDiffer) {
  for (std::uint64_t Seed = 1; Seed <= 50; ++Seed) {
    const std::string Text = replay::generate(Seed);
    CHECK_TRUE(
        std::holds_alternative<replay::trace>(replay::parse(Text, "random")));
    CHECK_TRUE(Text == replay::generate(Seed));
    CHECK_TRUE(Text != replay::generate(Seed + 1));
  }
}

TEST(Schedules, ShrinkingKeepsWhatFailsAndWhatEndsFaults) {
  const std::string Text = "header\nload\n{\"do\":\"kill\"}\n"
                           "{\"do\":\"start\"}\nother\n";
  const std::string Small =
      replay::shrink(Text, [](const std::string &Shorter) {
        return Shorter.find("kill") != std::string::npos;
      });
  CHECK_EQUAL(std::string("header\n{\"do\":\"kill\"}\n{\"do\":\"start\"}\n"),
              Small);
}
