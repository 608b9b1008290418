#include <crocuswood/http.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::http;

namespace {

findings faultsOf(std::string_view Body) {
  auto Parsed = parseJobRequest(Body);
  if (auto *Findings = std::get_if<findings>(&Parsed)) {
    return *Findings;
  }
  return {};
}

bool reports(std::string_view Body, const std::string &Path, std::uint32_t Line,
             std::uint32_t Column) {
  for (const finding &Finding : faultsOf(Body)) {
    if (Finding.Path == Path && Finding.Line == Line &&
        Finding.Column == Column) {
      return true;
    }
  }
  return false;
}

std::string inputOf(const std::string &Input) {
  const auto Parsed = parseJobRequest(
      R"({"class":"c","team":"t","tasks":[{ "input" : )" + Input + " }]}");
  const auto *Job = std::get_if<job_request>(&Parsed);
  return Job == nullptr ? "(refused)"
                        : std::string(Job->Tasks.at(0).Input.getBytes());
}

} // namespace

TEST_GROUP(JobRequests){};

TEST(JobRequests, EveryFieldIsRead) {
  const auto Parsed = parseJobRequest(
      R"({"tasks":[{"input":1,"run_time":"300ms"},{"input":{"a":[2]}}],)"
      R"("deadline":"2s","idempotency_key":"k","team":"t","class":"c"})");
  const auto &Job = std::get<job_request>(Parsed);
  CHECK_EQUAL(2U, Job.Tasks.size());
  CHECK_TRUE(Job.Tasks[0].DeclaredRunTime == std::chrono::milliseconds(300));
  CHECK_TRUE(Job.Deadline == std::chrono::seconds(2));
  CHECK_EQUAL(std::string("k"), Job.IdempotencyKey);
  CHECK_EQUAL(std::string("ct"), Job.Class + Job.Team);
}

TEST(JobRequests, InputKeepsItsBytes) {
  for (const std::string Input :
       {"1", "-1.50e3", "\"a\\u0041\\\"\"", "null", "true", "[]", "{}",
        "[1, [2,\t3], {\"tasks\":[{\"input\":4}]}]", "{\"a\" : \"}\"}",
        "12345678901234567890123", "0"}) {
    CHECK_EQUAL(Input, inputOf(Input));
  }
}

TEST(JobRequests, FaultsAreReportedTogetherWithTheirPlaces) {
  const std::string_view Body = "{\"class\":\"\",\n"
                                " \"team\":5,\n"
                                " \"tasks\":[{\"input\":1},\n"
                                "  {\"run_time\":\"fast\"},\n"
                                "  7]}";
  CHECK_EQUAL(5U, faultsOf(Body).size());
  CHECK_TRUE(reports(Body, "class", 1, 10));
  CHECK_TRUE(reports(Body, "team", 2, 9));
  CHECK_TRUE(reports(Body, "tasks[1].run_time", 4, 15));
  CHECK_TRUE(reports(Body, "tasks[1].input", 4, 3));
  CHECK_TRUE(reports(Body, "tasks[2]", 5, 3));
}

TEST(JobRequests, MissingUnknownAndRepeatedKeysAreFaults) {
  CHECK_EQUAL(3U, faultsOf("{}").size());
  CHECK_EQUAL(1U, faultsOf(R"({"class":"c","team":"t","tasks":[]})").size());
  const std::string_view Unknown =
      R"({"class":"c","team":"t","deadlin":"1s","tasks":[{"input":1}]})";
  CHECK_EQUAL(std::string("deadlin"), faultsOf(Unknown).at(0).Path);
  const std::string_view Twice =
      R"({"class":"c","class":"d","team":"t","tasks":[{"input":1}]})";
  CHECK_EQUAL(std::string("class"), faultsOf(Twice).at(0).Path);
}

TEST(JobRequests, SyntaxFaultsHaveLineAndColumn) {
  const findings Findings = faultsOf("{\"class\":\"c\",\n  \"team\":x}");
  CHECK_EQUAL(1U, Findings.size());
  CHECK_EQUAL(2U, Findings[0].Line);
  CHECK_EQUAL(10U, Findings[0].Column);
  CHECK_FALSE(faultsOf("").empty());
  CHECK_FALSE(faultsOf("[]").empty());
  CHECK_FALSE(faultsOf("3").empty());
  CHECK_FALSE(faultsOf("{\"class\":\"\xff\"}").empty());
}

TEST(JobRequests, BoundsOfTasksAndNestingHold) {
  const auto WithTasks = [](std::uint32_t Count) {
    std::string Body = R"({"class":"c","team":"t","tasks":[{"input":0})";
    for (std::uint32_t Index = 1; Index < Count; ++Index) {
      Body += R"(,{"input":0})";
    }
    return Body + "]}";
  };
  CHECK_EQUAL(0U, faultsOf(WithTasks(MaxTasksPerJob)).size());
  CHECK_EQUAL(1U, faultsOf(WithTasks(MaxTasksPerJob + 1)).size());
  CHECK_EQUAL(std::string("(refused)"), inputOf(std::string(100'000, '[')));
}

TEST(JobRequests, DurationsNeedANumberAndAUnit) {
  const auto DeadlineOf = [](const std::string &Text) {
    const auto Parsed = parseJobRequest(
        R"({"class":"c","team":"t","tasks":[{"input":1}],"deadline":")" + Text +
        "\"}");
    const auto *Job = std::get_if<job_request>(&Parsed);
    return Job == nullptr ? duration(-1) : *Job->Deadline;
  };
  CHECK_TRUE(DeadlineOf("1.5s") == std::chrono::milliseconds(1500));
  CHECK_TRUE(DeadlineOf("2m") == std::chrono::minutes(2));
  CHECK_TRUE(DeadlineOf("7us") == duration(7));
  for (const char *Text : {"", "1", "s", "-1s", "0s", "1 s", "1e3s", "nan s",
                           "1s1", "99999999h", "inf", "0.1us"}) {
    CHECK_TRUE(DeadlineOf(Text) == duration(-1));
  }
}

TEST_GROUP(JobAnswers){};

TEST(JobAnswers, FailureCarriesCertaintyAndRetryHint) {
  const job_answer Answer{
      .Job = job_id{.Entry = incarnation{1}, .Sequence = 2},
      .Outcome = job_failure{.Code = failure_code::TaskFailed,
                             .Certainty = run_certainty::MayHaveRun,
                             .Reason = "said \"no\"\n\xff",
                             .RetryAfter = duration(1'500),
                             .Task = 3}};
  CHECK_EQUAL(
      std::string(R"({"job":"0000000000000001-2","error":"task_failed",)"
                  R"("certainty":"may_have_run","reason":"said \"no\"\n)"
                  "\xef\xbf\xbd"
                  R"(","retry_after_ms":2,"task":3})"),
      writeJobAnswer(Answer));
  CHECK_EQUAL(502U, statusOf(Answer.Outcome));
}

TEST(JobAnswers, ResultsKeepTheirBytesAndOrder) {
  const job_answer Answer{
      .Outcome = job_results{
          .Outputs = {payload("[1, 2]"), payload("\"b\""), payload()}}};
  CHECK_EQUAL(std::string(R"({"results":[[1, 2],"b",null]})"),
              writeJobAnswer(Answer));
  CHECK_EQUAL(200U, statusOf(Answer.Outcome));
}

TEST_GROUP(Announcements){};

TEST(Announcements, EveryFieldIsRead) {
  const auto Parsed = parseAnnouncement(
      R"({"name":"r","address":"10.0.0.1:80","classes":["a","b"],"slots":8,)"
      R"("memory_bytes":5,"accelerators":1,"leaving":true})");
  const auto &Value = std::get<companion::endpoint_announcement>(Parsed);
  CHECK_TRUE(Value.Offer.State == endpoint_state::Leaving);
  CHECK_TRUE((Value.Address == peer_address{"10.0.0.1", 80}));
  CHECK_EQUAL(2U, Value.Offer.Classes.size());
  CHECK_EQUAL(8U, Value.Offer.Slots);
}

TEST(Announcements, FaultsAreReportedTogether) {
  const auto Parsed = parseAnnouncement(
      R"({"address":"host:80","classes":["a",5],"slots":0,"leaving":1,"x":2})");
  CHECK_EQUAL(6U, std::get<findings>(Parsed).size());
  const auto Broken = parseAnnouncement("{\n\"name\":}");
  CHECK_EQUAL(2U, std::get<findings>(Broken).at(0).Line);
  CHECK_EQUAL(8U, std::get<findings>(Broken).at(0).Column);
}
