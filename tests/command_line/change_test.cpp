#include "command_fixture.h"

#include <crocuswood/config.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::command_line;

namespace {

const std::string Configuration = "10.0.0.1:9000 GET /v1/configuration";
const std::string PutPivot = "10.0.0.1:9000 PUT /v1/classes/pivot";

std::string documentAt(std::uint64_t Revision, double RefuseAtMost) {
  return config::write(
      configuration{.Revision = Revision,
                    .Classes = {{"pivot",
                                 {.Name = "pivot",
                                  .AnswerWithin = std::chrono::seconds(1),
                                  .RefuseAtMost = RefuseAtMost}}},
                    .Teams = {{"t", {.Name = "t"}}}});
}

} // namespace

TEST_GROUP(Changes) {
  command_fixture Fixture;

  const http::plain_request &getSent(std::size_t Index) {
    return Fixture.Http.Calls.at(Index).Request;
  }
};

TEST(Changes, SetKeepsWhatIsNotNamed) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(PutPivot, 200, R"({"revision":5})");
  CHECK_EQUAL(
      0, Fixture.run({"class", "set", "pivot", "--answer-within", "400ms"}));
  const http::plain_request &Put = getSent(1);
  CHECK_TRUE(Put.Body.find(R"("answer_within":"400ms")") != std::string::npos);
  CHECK_TRUE(Put.Body.find(R"("refuse_at_most":0.5)") != std::string::npos);
  CHECK_EQUAL(std::string("4"), Put.Query.at("expected_revision"));
  CHECK_EQUAL(std::string("made-id"), Put.Query.at("change_id"));
  CHECK_TRUE(Fixture.printed("revision 5"));
}

TEST(Changes, ChangeOfAnotherThingBetweenIsNoConflict) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(5, 0.5));
  Fixture.Http.answer(PutPivot, 409, R"({"current_revision":5})");
  Fixture.Http.answer(PutPivot, 200, R"({"revision":6})");
  CHECK_EQUAL(0, Fixture.run({"class", "set", "pivot", "--quantile", "0.9"}));
}

TEST(Changes, ChangeOfTheSameThingBetweenIsAConflict) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(5, 0.25));
  Fixture.Http.answer(PutPivot, 409, R"({"current_revision":5})");
  CHECK_EQUAL(1, Fixture.run({"class", "set", "pivot", "--quantile", "0.9"}));
  CHECK_TRUE(Fixture.complained("revision 5 is current"));
  CHECK_EQUAL(4U, Fixture.Http.Calls.size());
}

TEST(Changes, AcceptedChangeIsWaitedForAtTheEntry) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(5, 0.25));
  Fixture.Http.answer(PutPivot, 200, R"({"revision":5})");
  CHECK_EQUAL(
      0, Fixture.run({"class", "set", "pivot", "--refuse-at-most", "0.25"}));
  CHECK_EQUAL(1, Fixture.Sleeps);
}

TEST(Changes, StaleReadIsRepeatedAfterAConflict) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(Configuration, 200, documentAt(6, 0.5));
  Fixture.Http.answer(PutPivot, 409, R"({"current_revision":6})");
  Fixture.Http.answer(PutPivot, 200, R"({"revision":6})");
  CHECK_EQUAL(0, Fixture.run({"class", "set", "pivot", "--quantile", "0.9"}));
  CHECK_EQUAL(std::string("6"),
              Fixture.Http.Calls[5].Request.Query.at("expected_revision"));
}

TEST(Changes, GivenRevisionIsNeverReplaced) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(PutPivot, 409, R"({"current_revision":4})");
  CHECK_EQUAL(1, Fixture.run({"class", "set", "pivot", "--quantile", "0.9",
                              "--expected-revision", "3", "--json"}));
  CHECK_EQUAL(std::string("3"), getSent(1).Query.at("expected_revision"));
  CHECK_EQUAL(2U, Fixture.Http.Calls.size());
  CHECK_TRUE(Fixture.printed(R"("current_revision":4)"));
}

TEST(Changes, LostAnswerIsSettledByTheSameId) {
  Fixture.Files.Contents["pivot.json"] =
      R"({"name":"pivot","answer_within":"1s"})";
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.lose(PutPivot);
  Fixture.Http.answer(PutPivot, 200, R"({"revision":5})");
  CHECK_EQUAL(0,
              Fixture.run({"class", "set", "pivot", "--file", "pivot.json"}));
  CHECK_EQUAL(0U, getSent(1).Query.count("expected_revision"));
  CHECK_EQUAL(std::string("4"), getSent(2).Query.at("expected_revision"));
  CHECK_EQUAL(getSent(1).Query.at("change_id"),
              getSent(2).Query.at("change_id"));
}

TEST(Changes, LostAnswerThatCannotBeSettledIsSaid) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.lose("10.0.0.1:9000 DELETE /v1/teams/t");
  Fixture.Http.answer("10.0.0.1:9000 DELETE /v1/teams/t", 409,
                      R"({"current_revision":6})");
  CHECK_EQUAL(3, Fixture.run({"team", "remove", "t"}));
  CHECK_TRUE(Fixture.complained("may or may not"));
}

TEST(Changes, UnavailableStoreIsCertainOnlyIfItSaysSo) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer("10.0.0.1:9000 DELETE /v1/teams/t", 503,
                      R"({"error":"unavailable","certain":true})");
  CHECK_EQUAL(3, Fixture.run({"team", "remove", "t"}));
  CHECK_TRUE(Fixture.complained("nothing was changed"));
}

TEST(Changes, FaultyDocumentsAreNeverSent) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  CHECK_EQUAL(2, Fixture.run({"class", "set", "new", "--quantile", "2"}));
  CHECK_TRUE(Fixture.complained("quantile"));
  CHECK_TRUE(Fixture.complained("answer_within"));
  CHECK_EQUAL(1U, Fixture.Http.Calls.size());
}

TEST(Changes, FindingsOfTheEntryArePrinted) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  Fixture.Http.answer(
      "10.0.0.1:9000 DELETE /v1/teams/t", 422,
      R"({"error":"invalid","findings":[{"path":"name","line":0,"column":0,)"
      R"("message":"No team has this name."}]})");
  CHECK_EQUAL(1, Fixture.run({"team", "remove", "t"}));
  CHECK_TRUE(Fixture.complained("No team has this name."));
}

TEST(Changes, ListAndGetPrintTheConfiguration) {
  Fixture.Http.answer(Configuration, 200, documentAt(4, 0.5));
  CHECK_EQUAL(0, Fixture.run({"class", "list"}));
  CHECK_TRUE(Fixture.printed("pivot  1s"));
  CHECK_EQUAL(0, Fixture.run({"team", "list", "--json"}));
  CHECK_TRUE(Fixture.printed(R"({"revision":4,"teams":[{"name":"t")"));
  CHECK_EQUAL(1, Fixture.run({"class", "get", "absent"}));
}

TEST(Changes, WrongArgumentsAreUsage) {
  const std::vector<std::vector<std::string>> Wrong = {
      {},
      {"clas"},
      {"class"},
      {"class", "drop", "a"},
      {"class", "set"},
      {"class", "list", "a"},
      {"class", "get", "Not A Name"},
      {"class", "get", "a", "--nonsense"},
      {"class", "get", "a", "--operators", "nowhere"}};
  for (const auto &Arguments : Wrong) {
    CHECK_EQUAL(2, Fixture.run(Arguments));
  }
  CHECK_TRUE(Fixture.Http.Calls.empty());
}
