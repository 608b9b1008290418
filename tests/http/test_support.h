/// \file
/// Sockets of callers and servers for the tests, driven by one context.
#pragma once

#include <crocuswood/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::http::test {

using boost::asio::ip::tcp;

/// A generous bound; only a failing test comes near it.
constexpr std::chrono::seconds WaitBound{20};

/// Read from a socket at once.
constexpr std::size_t ReadBytes = 16'384;

/// Runs \p Context until \p Condition holds. \returns whether it did.
inline bool runUntil(boost::asio::io_context &Context,
                     const std::function<bool()> &Condition) {
  const auto End = std::chrono::steady_clock::now() + WaitBound;
  while (!Condition()) {
    if (std::chrono::steady_clock::now() > End) {
      return false;
    }
    Context.restart();
    Context.run_one_for(std::chrono::milliseconds(20));
  }
  return true;
}

/// Lets everything that is ready happen, a few times over.
inline void settle(boost::asio::io_context &Context) {
  Context.restart();
  Context.run_for(std::chrono::milliseconds(50));
}

/// A caller's end of a connection, byte by byte.
class raw_connection {
public:
  raw_connection(boost::asio::io_context &Context, std::uint16_t Port)
      : Context(Context), Socket(std::make_shared<tcp::socket>(Context)),
        Shared(std::make_shared<state>()) {
    Socket->connect({boost::asio::ip::make_address("127.0.0.1"), Port});
    read(Socket, Shared);
  }
  ~raw_connection() { close(); }
  raw_connection(const raw_connection &) = delete;
  raw_connection &operator=(const raw_connection &) = delete;

  void send(std::string_view Text) {
    const auto Owned = std::make_shared<std::string>(Text);
    boost::asio::async_write(
        *Socket, boost::asio::buffer(*Owned),
        [Owned, Keep = Socket](const boost::system::error_code &, std::size_t) {
        });
  }
  const std::string &received() const { return Shared->Received; }
  bool isClosed() const { return Shared->Closed; }
  bool waitFor(std::string_view Text) {
    return runUntil(Context, [&] {
      return Shared->Received.find(Text) != std::string::npos;
    });
  }
  bool waitClosed() {
    return runUntil(Context, [&] { return Shared->Closed; });
  }
  void close() {
    boost::system::error_code Ignored;
    Socket->close(Ignored);
  }
  /// Closes with a reset, as a killed caller may.
  void reset() {
    Socket->set_option(boost::asio::socket_base::linger(true, 0));
    close();
  }

private:
  struct state {
    std::string Received;
    bool Closed = false;
    std::array<char, ReadBytes> Buffer{};
  };

  static void read(const std::shared_ptr<tcp::socket> &Socket,
                   const std::shared_ptr<state> &Shared) {
    Socket->async_read_some(
        boost::asio::buffer(Shared->Buffer),
        [Socket, Shared](const boost::system::error_code &Error,
                         std::size_t Bytes) {
          if (Error) {
            Shared->Closed = true;
            return;
          }
          Shared->Received.append(Shared->Buffer.data(), Bytes);
          read(Socket, Shared);
        });
  }

  boost::asio::io_context &Context;
  std::shared_ptr<tcp::socket> Socket;
  std::shared_ptr<state> Shared;
};

/// Takes the place of the decisions.
class recording_events : public caller_events {
public:
  bool jobSubmitted(request_id Request, job_request Job) override {
    if (!Takes) {
      return false;
    }
    Requests.push_back(Request);
    Jobs.push_back(std::move(Job));
    if (OnSubmit) {
      OnSubmit(Request, Jobs.back());
    }
    return true;
  }
  void jobCancelled(request_id Request, bool CallerGone) override {
    Cancelled.emplace_back(Request, CallerGone);
  }
  void inputDropped(std::uint64_t Bytes) override { DroppedBytes += Bytes; }

  bool Takes = true;
  std::function<void(request_id, const job_request &)> OnSubmit;
  std::vector<request_id> Requests;
  std::vector<job_request> Jobs;
  std::vector<std::pair<request_id, bool>> Cancelled;
  std::uint64_t DroppedBytes = 0;
};

/// \returns the answer that echoes the inputs of \p Job.
inline job_answer echo(const job_request &Job) {
  job_results Results;
  for (const task_request &Task : Job.Tasks) {
    Results.Outputs.push_back(Task.Input);
  }
  return {.Job = job_id{.Entry = incarnation{7}, .Sequence = 1},
          .Outcome = std::move(Results)};
}

/// \returns a whole request to \p Target.
inline std::string request(const std::string &Method, const std::string &Target,
                           const std::string &Body,
                           const std::string &Headers = "") {
  return Method + " " + Target + " HTTP/1.1\r\nHost: test\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// \returns a submission of one task with \p Input.
inline std::string submission(const std::string &Input,
                              const std::string &Headers = "") {
  return request(
      "POST", "/v1/jobs",
      R"({"class":"c","team":"t","tasks":[{"input":)" + Input + "}]}", Headers);
}

/// A server that does what its script says, one step for each request.
class scripted_server {
public:
  struct step {
    std::string Reply;       ///< Bytes of the answer, perhaps none.
    bool CloseAfter = false; ///< Closes after the answer.
  };

  scripted_server(boost::asio::io_context &Context, std::deque<step> Script)
      : Acceptor(Context, {boost::asio::ip::make_address("127.0.0.1"), 0}),
        Script(std::move(Script)) {
    accept();
  }
  ~scripted_server() { closeConnections(); }
  scripted_server(const scripted_server &) = delete;
  scripted_server &operator=(const scripted_server &) = delete;

  peer_address address() const {
    return {.Host = "127.0.0.1", .Port = Acceptor.local_endpoint().port()};
  }
  void closeConnections() {
    for (const auto &Connection : Open) {
      boost::system::error_code Ignored;
      Connection->Socket.close(Ignored);
    }
    Open.clear();
  }

  /// Sends \p Reply on every connection.
  void answerAll(const std::string &Reply) {
    for (const auto &Connection : Open) {
      boost::asio::write(Connection->Socket, boost::asio::buffer(Reply));
    }
  }
  /// Makes the connections of now take input without ever answering.
  void silenceOpen() {
    for (const auto &Connection : Open) {
      Connection->Silent = true;
    }
  }

  std::vector<std::string> Requests;
  std::size_t Connections = 0;

private:
  struct connection {
    explicit connection(tcp::socket Socket) : Socket(std::move(Socket)) {}
    tcp::socket Socket;
    std::string Input;
    bool Silent = false;
    std::array<char, ReadBytes> Buffer{};
  };

  void accept() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, tcp::socket Socket) {
          if (Error) {
            return;
          }
          ++Connections;
          Open.push_back(std::make_shared<connection>(std::move(Socket)));
          read(Open.back());
          accept();
        });
  }
  void read(const std::shared_ptr<connection> &Connection) {
    Connection->Socket.async_read_some(
        boost::asio::buffer(Connection->Buffer),
        [this, Connection](const boost::system::error_code &Error,
                           std::size_t Bytes) {
          if (Error) {
            return;
          }
          Connection->Input.append(Connection->Buffer.data(), Bytes);
          if (!Connection->Silent && isWhole(Connection->Input)) {
            Requests.push_back(std::exchange(Connection->Input, {}));
            play(Connection);
          }
          if (Connection->Socket.is_open()) {
            read(Connection);
          }
        });
  }
  static bool isWhole(const std::string &Text) {
    const std::size_t End = Text.find("\r\n\r\n");
    if (End == std::string::npos) {
      return false;
    }
    const std::size_t Length = Text.find("Content-Length: ");
    const std::size_t Body =
        Length == std::string::npos ? 0 : std::stoul(Text.substr(Length + 16));
    return Text.size() >= End + 4 + Body;
  }
  void play(const std::shared_ptr<connection> &Connection) {
    const step Step = Script.empty() ? step{} : Script.front();
    if (!Script.empty()) {
      Script.pop_front();
    }
    boost::system::error_code Ignored;
    boost::asio::write(Connection->Socket, boost::asio::buffer(Step.Reply),
                       Ignored);
    if (Step.CloseAfter) {
      Connection->Socket.close(Ignored);
    }
  }

  tcp::acceptor Acceptor;
  std::deque<step> Script;
  std::vector<std::shared_ptr<connection>> Open;
};

/// \returns an answer's bytes.
inline std::string reply(unsigned Status, const std::string &Body,
                         const std::string &Headers = "") {
  return "HTTP/1.1 " + std::to_string(Status) + " X\r\n" + Headers +
         "Content-Length: " + std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

/// Seeds of each test with random input.
constexpr std::uint64_t Seeds = 150;

/// \returns \p Text with a few bytes changed, removed or repeated.
inline std::string damage(std::string Text, std::mt19937_64 &Random) {
  const auto Below = [&Random](std::size_t Bound) {
    return static_cast<std::size_t>(Random() % Bound);
  };
  const std::size_t Changes = 1 + Below(4);
  for (std::size_t Change = 0; Change < Changes && !Text.empty(); ++Change) {
    const std::size_t Place = Below(Text.size());
    switch (Below(4)) {
    case 0:
      Text[Place] = static_cast<char>(Random());
      break;
    case 1:
      Text.erase(Place, 1 + Below(5));
      break;
    case 2:
      Text.insert(Place, Text.substr(Below(Text.size()), 10));
      break;
    default:
      Text.resize(Place);
      break;
    }
  }
  return Text;
}

} // namespace crocuswood::http::test
