#include <crocuswood/timeline.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

namespace {

timeline_event fullEvent() {
  return {.Kind = event_kind::JobFailed,
          .Time = {.WallMicroseconds = 1'700'000'000'000'001, .Counter = 3},
          .Process = {.Name = "bassano-1", .Incarnation = incarnation{0xfe}},
          .Job = job_id{.Entry = incarnation{0xfe}, .Sequence = 9},
          .Task = 0,
          .Class = "pivot-check",
          .Team = "valbrenta",
          .Key = "sale \"7\"\n",
          .Peer = "runner-1",
          .Code = "endpoint_lost",
          .Reason = "The companion is gone.",
          .Certainty = "may_have_run",
          .Digest = 0xfedcba9876543210,
          .Value = -5};
}

} // namespace

TEST_GROUP(EventJson){};

TEST(EventJson, EveryFieldParsesBack) {
  const std::string Line = timeline::writeJson(fullEvent());
  CHECK_TRUE(Line.find('\n') == std::string::npos);
  const auto Parsed = timeline::parseJson(Line, "test", 1);
  CHECK_TRUE(std::get<timeline_event>(Parsed) == fullEvent());
}

TEST(EventJson, UnsetFieldsAreNotWritten) {
  const timeline_event Event{.Kind = event_kind::StoreDown,
                             .Time = {.WallMicroseconds = 5},
                             .Process = {.Name = "e"}};
  CHECK_EQUAL(std::string(R"({"time":5,"process":"e",)"
                          R"("incarnation":"0000000000000000",)"
                          R"("kind":"store_down"})"),
              timeline::writeJson(Event));
}

TEST(EventJson, TextThatIsNoUtf8IsWrittenAsValidJson) {
  timeline_event Event = fullEvent();
  Event.Reason = "\xff\xfe";
  CHECK_TRUE(std::holds_alternative<timeline_event>(
      timeline::parseJson(timeline::writeJson(Event), "test", 1)));
}

TEST(EventJson, EveryBadLineIsReportedWithItsNumber) {
  const std::string Text =
      timeline::writeJson(fullEvent()) +
      "\n\n{\"kind\":\n{\"kind\":\"x\",\"time\":\"y\"}\n[1]\n";
  const auto Parsed = timeline::parseJsonLines(Text, "f");
  const findings &Faults = std::get<findings>(Parsed);
  CHECK_EQUAL(4U, Faults.size());
  CHECK_EQUAL(3U, Faults[0].Line);
  CHECK_EQUAL(4U, Faults[1].Line);
  CHECK_EQUAL(std::string("time"), Faults[2].Path);
  CHECK_EQUAL(5U, Faults[3].Line);
}
