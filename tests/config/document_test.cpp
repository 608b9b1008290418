#include <crocuswood/config.h>

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

namespace {

bool hasFaultAt(const findings &Faults, const std::string &Path) {
  return std::any_of(Faults.begin(), Faults.end(), [&](const finding &Fault) {
    return Fault.Path == Path && Fault.Source == "test";
  });
}

} // namespace

TEST_GROUP(Documents){};

TEST(Documents, ConfigurationParsesBack) {
  const configuration Value{
      .Revision = 7,
      .ChangeId = "a-1",
      .Classes = {{"pivot-check",
                   {.Name = "pivot-check",
                    .AnswerWithin = std::chrono::milliseconds(400),
                    .RefuseAtMost = 0.01}},
                  {"sale",
                   {.Name = "sale",
                    .AnswerWithin = std::chrono::seconds(2),
                    .Idempotent = false,
                    .MemoryBytes = 1'000'000,
                    .Accelerators = 1}}},
      .Teams = {
          {"valbrenta", {.Name = "valbrenta", .TaskStartsPerSecond = 2.5}}}};
  const auto Parsed = config::parseConfiguration(config::write(Value), "test");
  CHECK_TRUE(std::get<configuration>(Parsed) == Value);
}

TEST(Documents, CanonicalClassHasEveryKey) {
  const auto Parsed = config::parseClass(
      R"({"answer_within": "0.4s", "name": "pivot-check"})", "test");
  CHECK_EQUAL(
      std::string(R"({"name":"pivot-check","answer_within":"400ms",)"
                  R"("quantile":0.99,"refuse_at_most":0.0,"idempotent":true,)"
                  R"("memory_bytes":0,"accelerators":0})"),
      config::write(std::get<class_spec>(Parsed)));
}

TEST(Documents, EveryFaultOfAClassIsReported) {
  const auto Parsed = config::parseClass(
      R"({"name": "Pivot", "answer_within": 400, "quantile": 1,
          "refuse_at_most": -0.1, "idempotent": "yes", "memory_bytes": -1,
          "accelerators": 1.5, "weight": 3})",
      "test");
  const findings &Faults = std::get<findings>(Parsed);
  for (const char *Key :
       {"name", "answer_within", "quantile", "refuse_at_most", "idempotent",
        "memory_bytes", "accelerators", "weight"}) {
    CHECK_TRUE(hasFaultAt(Faults, Key));
  }
  CHECK_EQUAL(8U, Faults.size());
}

TEST(Documents, FaultsInListsHaveTheirPath) {
  const auto Parsed = config::parseConfiguration(
      R"({"revision": 1, "classes": [{"name": "a", "answer_within": "1s"},
          {"name": "a", "answer_within": "1s"}, 5], "teams": {}})",
      "test");
  const findings &Faults = std::get<findings>(Parsed);
  CHECK_TRUE(hasFaultAt(Faults, "classes[1].name"));
  CHECK_TRUE(hasFaultAt(Faults, "classes[2]"));
  CHECK_TRUE(hasFaultAt(Faults, "teams"));
  CHECK_EQUAL(3U, Faults.size());
}

TEST(Documents, SyntaxFaultsHaveLineAndColumn) {
  const auto Parsed = config::parseTeam("{\n  \"name\": x\n}", "test");
  const findings &Faults = std::get<findings>(Parsed);
  CHECK_EQUAL(1U, Faults.size());
  CHECK_EQUAL(2U, Faults.front().Line);
  CHECK_EQUAL(11U, Faults.front().Column);
}

TEST(Documents, DoubledKeysAndDeepNestingAreRefused) {
  const auto Doubled =
      config::parseTeam(R"({"name": "a", "name": "b"})", "test");
  CHECK_TRUE(hasFaultAt(std::get<findings>(Doubled), "name"));
  const auto Deep = config::parseTeam(
      std::string(100'000, '[') + std::string(100'000, ']'), "test");
  CHECK_TRUE(std::holds_alternative<findings>(Deep));
  const auto Huge = config::parseTeam(
      R"({"name": "a", "task_starts_per_second": 1e999})", "test");
  CHECK_TRUE(std::holds_alternative<findings>(Huge));
}
