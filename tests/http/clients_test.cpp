#include "test_support.h"

#include <optional>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::http;
using namespace crocuswood::http::test;

namespace {

constexpr duration Limit = std::chrono::seconds(10);
constexpr duration ShortLimit = std::chrono::milliseconds(100);

/// \returns an address where nothing listens.
peer_address closedAddress(boost::asio::io_context &Context) {
  tcp::acceptor Acceptor(Context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  return {.Host = "127.0.0.1", .Port = Acceptor.local_endpoint().port()};
}

} // namespace

TEST_GROUP(PlainClient) {
  boost::asio::io_context Context;

  plain_reply send(plain_client & Client, const peer_address &Server,
                   const std::string &Path = "/") {
    std::optional<plain_reply> Result;
    Client.send(Server, {.Method = "GET", .Path = Path},
                [&Result](plain_reply Reply) { Result = std::move(Reply); });
    CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    return *Result;
  }
  void teardown() override { settle(Context); }
};

TEST(PlainClient, KeptConnectionIsReused) {
  scripted_server Server(Context, {{reply(200, "a")}, {reply(201, "b")}});
  plain_client Client(Context, 4, Limit);
  CHECK_EQUAL(std::string("a"), send(Client, Server.address()).Response.Body);
  CHECK_EQUAL(201U, send(Client, Server.address()).Response.Status);
  CHECK_EQUAL(1U, Server.Connections);
}

TEST(PlainClient, KeptConnectionThatTheServerClosedIsNotWrittenTo) {
  scripted_server Server(Context, {{reply(200, "a")}, {reply(200, "b")}});
  plain_client Client(Context, 4, Limit);
  send(Client, Server.address());
  Server.closeConnections();
  CHECK_EQUAL(std::string("b"), send(Client, Server.address()).Response.Body);
  CHECK_EQUAL(2U, Server.Connections);
}

TEST(PlainClient, KeptConnectionThatClosesWithoutAnAnswerIsLost) {
  scripted_server Server(Context, {{reply(200, "a")}, {"", true}});
  plain_client Client(Context, 4, Limit);
  send(Client, Server.address());
  const plain_reply Reply = send(Client, Server.address());
  CHECK_TRUE(Reply.Kind == plain_reply::kind::Lost);
  CHECK_EQUAL(2U, Server.Requests.size());
}

TEST(PlainClient, RefusedConnectionIsNotWritten) {
  plain_client Client(Context, 4, Limit);
  const plain_reply Reply = send(Client, closedAddress(Context));
  CHECK_TRUE(Reply.Kind == plain_reply::kind::NotWritten);
  CHECK_TRUE(Reply.Refused);
  const plain_reply Other = send(Client, {"no number", 1});
  CHECK_TRUE(Other.Kind == plain_reply::kind::NotWritten);
  CHECK_FALSE(Other.Refused);
}

TEST(PlainClient, TruncatedAnswerAndTimeLimitAreLost) {
  scripted_server Server(
      Context, {{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc", true},
                {"nonsense\r\n\r\n", true},
                {""}});
  plain_client Client(Context, 4, ShortLimit);
  for (int Attempt = 0; Attempt < 3; ++Attempt) {
    CHECK_TRUE(send(Client, Server.address()).Kind == plain_reply::kind::Lost);
  }
}

TEST(PlainClient, ATimeLimitAndAWriteThatEndTogetherAreSafe) {
  tcp::acceptor Acceptor(Context,
                         {boost::asio::ip::make_address("127.0.0.1"), 0});
  constexpr std::size_t MoreThanBuffers = std::size_t{32} * 1024 * 1024;
  plain_client Client(Context, 1, ShortLimit);
  std::optional<plain_reply> Result;
  Client.send({.Host = "127.0.0.1", .Port = Acceptor.local_endpoint().port()},
              {.Method = "POST",
               .Path = "/",
               .Body = std::string(MoreThanBuffers, 'x')},
              [&Result](plain_reply Reply) { Result = std::move(Reply); });
  // The write waits for room. The process then stands still until there is
  // room and the limit has passed, as after a suspension.
  Context.run_for(ShortLimit / 2);
  boost::asio::io_context Other;
  tcp::socket Peer(Other);
  boost::system::error_code Error;
  Acceptor.accept(Peer, Error);
  std::string Taken(MoreThanBuffers / 4, '\0');
  Peer.non_blocking(true);
  for (std::size_t Bytes = 1; Bytes > 0;) {
    Bytes = Peer.read_some(boost::asio::buffer(Taken), Error);
  }
  std::this_thread::sleep_for(ShortLimit);
  Context.restart();
  CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
  CHECK_TRUE(Result->Kind == plain_reply::kind::Lost);
  settle(Context);
}

TEST(PlainClient, AWaitingRequestIsSentOnceAConnectionIsFree) {
  scripted_server Server(Context, {{""}});
  plain_client Client(Context, 1, ShortLimit);
  std::vector<plain_reply::kind> Kinds;
  const auto Done = [&Kinds](const plain_reply &Reply) {
    Kinds.push_back(Reply.Kind);
  };
  Client.send(Server.address(), {.Method = "GET", .Path = "/1"}, Done);
  settle(Context);
  Client.send(Server.address(), {.Method = "GET", .Path = "/2"}, Done);
  CHECK_TRUE(runUntil(Context, [&] { return Server.Requests.size() == 2; }));
  CHECK_TRUE(Kinds.at(0) == plain_reply::kind::Lost);
}

TEST(PlainClient, AWaitBeyondItsOwnLimitEndsAsNotWritten) {
  scripted_server Server(Context, {{""}, {reply(200, "")}});
  plain_client Client(Context, 1, ShortLimit);
  std::vector<plain_reply::kind> Kinds;
  const auto Done = [&Kinds](const plain_reply &Reply) {
    Kinds.push_back(Reply.Kind);
  };
  Client.send(Server.address(), {.Method = "GET", .Path = "/1"}, Done);
  Client.send(Server.address(), {.Method = "GET", .Path = "/2"}, Done,
              ShortLimit / 2);
  CHECK_TRUE(runUntil(Context, [&] { return Kinds.size() == 2; }));
  CHECK_TRUE(Kinds[0] == plain_reply::kind::Lost);
  CHECK_TRUE(Kinds[1] == plain_reply::kind::NotWritten);
  CHECK_EQUAL(1U, Server.Requests.size());
}

TEST(PlainClient, NoKeptConnectionIsUsedAfterOneWentSilent) {
  scripted_server Server(Context, {{""}, {""}, {""}, {reply(200, "a")}});
  plain_client Client(Context, 8, ShortLimit);
  int Answers = 0;
  for (int Number = 0; Number < 3; ++Number) {
    Client.send(Server.address(), {.Method = "GET", .Path = "/"},
                [&Answers](const plain_reply &) { ++Answers; });
  }
  CHECK_TRUE(runUntil(Context, [&] { return Server.Requests.size() == 3; }));
  Server.answerAll(reply(200, ""));
  CHECK_TRUE(runUntil(Context, [&] { return Answers == 3; }));
  Server.silenceOpen();
  CHECK_TRUE(send(Client, Server.address()).Kind == plain_reply::kind::Lost);
  CHECK_EQUAL(3U, Server.Connections);
  CHECK_EQUAL(std::string("a"), send(Client, Server.address()).Response.Body);
  CHECK_EQUAL(4U, Server.Connections);
}

TEST(PlainClient, PathAndQueryArriveDecoded) {
  plain_request Seen;
  plain_server Server(
      Context, {},
      [&Seen](plain_request Request, const plain_server::respond &Respond) {
        Seen = std::move(Request);
        Respond({.Body = "{}"});
        Respond({.Body = "a second answer"});
      });
  const auto Port =
      std::get<std::uint16_t>(Server.listen({.Host = "127.0.0.1"}));
  plain_client Client(Context, 4, Limit);
  std::optional<plain_reply> Result;
  Client.send({"127.0.0.1", Port},
              {.Method = "PUT",
               .Path = "/a b/\xc3\xa9?%",
               .Query = {{"q&", "=1 +"}},
               .Headers = {{"X-Y", "z"}},
               .Body = "body"},
              [&Result](plain_reply Reply) { Result = std::move(Reply); });
  CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
  CHECK_EQUAL(std::string("{}"), Result->Response.Body);
  CHECK_EQUAL(std::string("/a b/\xc3\xa9?%"), Seen.Path);
  CHECK_EQUAL(std::string("=1 +"), Seen.Query.at("q&"));
  CHECK_EQUAL(std::string("z"), Seen.Headers.at("x-y"));
  CHECK_EQUAL(std::string("PUTbody"), Seen.Method + Seen.Body);
}

TEST_GROUP(EndpointClient) {
  boost::asio::io_context Context;

  endpoint_outcome runTask(const peer_address &Endpoint, duration TimeLimit) {
    endpoint_client Client(Context, TimeLimit);
    std::optional<endpoint_outcome> Result;
    Client.run(
        Endpoint,
        {.Task = {.Job = {.Entry = incarnation{1}, .Sequence = 2}, .Index = 3},
         .Class = "c",
         .Input = payload("[1]")},
        [&Result](endpoint_outcome Outcome) { Result = std::move(Outcome); });
    CHECK_TRUE(runUntil(Context, [&] { return Result.has_value(); }));
    return *Result;
  }
  void teardown() override { settle(Context); }
};

TEST(EndpointClient, CallNamesTaskAndClass) {
  scripted_server Server(Context, {{reply(200, "[2]")}});
  const endpoint_outcome Outcome = runTask(Server.address(), Limit);
  CHECK_EQUAL(
      std::string("[2]"),
      std::string(std::get<endpoint_completed>(Outcome).Output.getBytes()));
  const std::string &Request = Server.Requests.at(0);
  CHECK_TRUE(Request.starts_with("POST /v1/run HTTP/1.1\r\n"));
  CHECK_TRUE(Request.find("Crocuswood-Task: 0000000000000001-2.3\r\n") !=
             std::string::npos);
  CHECK_TRUE(Request.find("Crocuswood-Class: c\r\n") != std::string::npos);
  CHECK_TRUE(Request.ends_with("\r\n\r\n[1]"));
}

TEST(EndpointClient, EveryEndIsToldApart) {
  scripted_server Server(
      Context,
      {{reply(500, "broken")}, {reply(200, "not JSON")}, {"", true}, {""}});
  CHECK_EQUAL(
      std::string("broken"),
      std::get<endpoint_failed>(runTask(Server.address(), Limit)).Reason);
  CHECK_TRUE(std::holds_alternative<endpoint_failed>(
      runTask(Server.address(), Limit)));
  CHECK_TRUE(
      std::holds_alternative<endpoint_lost>(runTask(Server.address(), Limit)));
  CHECK_TRUE(std::holds_alternative<endpoint_lost>(
      runTask(Server.address(), ShortLimit)));
  CHECK_TRUE(std::holds_alternative<endpoint_not_reached>(
      runTask(closedAddress(Context), Limit)));
}

TEST(EndpointClient, StopNamesTheTask) {
  scripted_server Server(Context, {{reply(202, "{}")}});
  endpoint_client Client(Context, Limit);
  Client.stop(Server.address(),
              {.Job = {.Entry = incarnation{1}, .Sequence = 2}, .Index = 3});
  CHECK_TRUE(runUntil(Context, [&] { return !Server.Requests.empty(); }));
  CHECK_TRUE(Server.Requests[0].starts_with(
      "DELETE /v1/run/0000000000000001-2.3 HTTP/1.1\r\n"));
}
