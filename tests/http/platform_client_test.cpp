#include "test_support.h"

#include <optional>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::http;
using namespace crocuswood::http::test;

TEST_GROUP(PlatformClient) {
  boost::asio::io_context Context;
  std::unique_ptr<scripted_server> Server;
  std::unique_ptr<platform_client> Client;

  void script(std::deque<scripted_server::step> Script,
              duration TimeLimit = std::chrono::seconds(10)) {
    Server = std::make_unique<scripted_server>(Context, std::move(Script));
    Client = std::make_unique<platform_client>(Context, Server->address(),
                                               TimeLimit);
  }
  read_outcome read(const std::string &Key) {
    std::optional<read_outcome> Result;
    Client->read(Key, [&Result](read_outcome Outcome) { Result = Outcome; });
    CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    return *Result;
  }
  range_outcome readRange() {
    std::optional<range_outcome> Result;
    Client->readRange("p/",
                      [&Result](range_outcome Outcome) { Result = Outcome; });
    CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    return *Result;
  }
  std::vector<store_status> write(std::vector<row_write> Writes) {
    std::optional<std::vector<write_outcome>> Result;
    Client->write(std::move(Writes),
                  [&Result](std::vector<write_outcome> Outcomes) {
                    Result = std::move(Outcomes);
                  });
    CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    std::vector<store_status> Statuses;
    for (const write_outcome &Outcome : *Result) {
      Statuses.push_back(Outcome.Status);
    }
    return Statuses;
  }
  store_status writeOne() { return write({{.Key = "k", .Value = "v"}}).at(0); }
  void teardown() override {
    Client.reset();
    Server.reset();
    settle(Context);
  }
};

TEST(PlatformClient, ReadsEndAsWhatTheyAre) {
  script({{reply(200, "value", "ETag: \"7\"\r\n")},
          {reply(404, "")},
          {reply(503, "")},
          {reply(200, "no version")},
          {"", true}});
  const read_outcome Found = read("claims/a b");
  CHECK_EQUAL(std::string("value"), Found.Row->Value);
  CHECK_EQUAL(std::string("\"7\""), Found.Row->Version);
  CHECK_TRUE(Server->Requests[0].starts_with("GET /v1/rows/claims/a%20b "));
  const read_outcome Missing = read("k");
  CHECK_TRUE(Missing.Status == store_status::Done && !Missing.Row);
  CHECK_TRUE(read("k").Status == store_status::Refused);
  CHECK_TRUE(read("k").Status == store_status::Unknown);
  CHECK_TRUE(read("k").Status == store_status::Unknown);
}

TEST(PlatformClient, RangesAreOrderedAndMalformedOnesUnknown) {
  script({{reply(200, R"({"rows":[{"key":"p/b","value":"2","etag":"x"},)"
                      R"({"key":"p/a","value":"1","etag":"y"}]})")},
          {reply(200, R"({"rows":[{"key":"p/b"}]})")},
          {reply(200, "[")},
          {reply(503, "")}});
  CHECK_EQUAL(std::string("p/a"), readRange().Rows.at(0).Key);
  CHECK_TRUE(readRange().Status == store_status::Unknown);
  CHECK_TRUE(readRange().Status == store_status::Unknown);
  CHECK_TRUE(readRange().Status == store_status::Refused);
}

TEST(PlatformClient, EachWriteOfABatchEndsByItself) {
  script({{reply(200, R"([{"status":200,"etag":"\"1\""},{"status":412},)"
                      R"({"status":503},{"status":"x"}])")}});
  const std::vector<store_status> Statuses =
      write({{.Key = "a",
              .Value = "v",
              .Condition = {.Kind = write_condition::kind::IfAbsent}},
             {.Key = "b",
              .Condition = {.Kind = write_condition::kind::IfVersion,
                            .Version = "\"3\""}},
             {.Key = "bad", .Value = "\xff"},
             {.Key = "c", .Value = "v"},
             {.Key = "d", .Value = "v"}});
  CHECK_TRUE(Statuses ==
             (std::vector{store_status::Done, store_status::Conflict,
                          store_status::Refused, store_status::Refused,
                          store_status::Unknown}));
  const std::string &Request = Server->Requests.at(0);
  CHECK_TRUE(Request.starts_with("POST /v1/batch "));
  CHECK_TRUE(Request.find(R"("if_none_match":"*")") != std::string::npos);
  CHECK_TRUE(Request.find(R"("if_match":"\"3\"")") != std::string::npos);
  CHECK_TRUE(Request.find(R"("value":null)") != std::string::npos);
}

TEST(PlatformClient, WritesWithoutAUsableAnswerAreUnknown) {
  script({{"", true},
          {reply(200, "[]")},
          {reply(200, "{")},
          {reply(500, "")},
          {reply(504, "")},
          {"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n[", true},
          {""}},
         std::chrono::milliseconds(300));
  for (int Attempt = 0; Attempt < 7; ++Attempt) {
    CHECK_TRUE(writeOne() == store_status::Unknown);
  }
  CHECK_EQUAL(7U, Server->Requests.size());
}

TEST(PlatformClient, WritesThatNeverReachedTheServiceAreRefused) {
  script({{reply(503, "")}});
  CHECK_TRUE(writeOne() == store_status::Refused);
  Server.reset();
  settle(Context);
  CHECK_TRUE(writeOne() == store_status::Refused);
}

TEST(PlatformClient, ObjectsAreStoredAndRead) {
  script({{reply(201, "")}, {reply(200, "bytes")}, {reply(404, "")}});
  std::optional<store_status> Put;
  Client->put("n", "bytes", [&Put](store_status Status) { Put = Status; });
  CHECK_TRUE(runUntil(Context, [&] { return Put.has_value(); }));
  CHECK_TRUE(Put == store_status::Done);
  for (const bool Exists : {true, false}) {
    std::optional<std::optional<std::string>> Got;
    Client->get("n",
                [&Got](store_status, const std::optional<std::string> &Bytes) {
                  Got = Bytes;
                });
    CHECK_TRUE(runUntil(Context, [&] { return Got.has_value(); }));
    CHECK_EQUAL(Exists, Got->has_value());
  }
}
