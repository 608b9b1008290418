/// \file
/// Public header of the package http: adapters on Boost.Beast for callers,
/// operators, endpoints and the platform. Single-threaded: every call is made
/// on the thread that runs the object's context, which must outlive the object.
#pragma once

#include <crocuswood/companion.h>
#include <crocuswood/memory_budget.h>
#include <crocuswood/model.h>
#include <crocuswood/ports.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>

namespace boost::asio {
class io_context;
}

namespace crocuswood::http {

/// Bounds of every server.
struct server_limits {
  std::uint32_t MaxConnections = 1'024;
  std::uint32_t MaxBodyBytes = 8U * 1024 * 1024;
  std::uint32_t MaxHeaderBytes = 16U * 1024;
  std::uint32_t MaxPipelined =
      64; ///< Requests of one connection that may wait for answers.
  duration IdleLimit = std::chrono::seconds(60);
  /// Bounds what the peers of all servers together hold, and outlives the
  /// server. Without it the server has an account of its own.
  memory_account *Memory = nullptr;
};

/// \returns how many connections of callers a process with \p Descriptors may
/// keep, at most \p Wanted: some descriptors are reserved for links, the store,
/// operators, and for connections that are told that there are too many.
std::uint32_t boundConnections(std::uint32_t Wanted, std::uint64_t Descriptors);

// Callers.

/// Parses the body of `POST /v1/jobs`; every fault with its place.
checked<job_request> parseJobRequest(std::string_view Body);
/// \returns the JSON body of an answer.
std::string writeJobAnswer(const job_answer &Answer);
/// \returns the HTTP status that goes with an outcome.
unsigned statusOf(const job_outcome &Outcome);

/// Serves `POST /v1/jobs` and `DELETE /v1/jobs/REFERENCE`, where REFERENCE is
/// the value of the request header `Crocuswood-Reference` of the submission.
/// Answers of one connection are written in the order of its requests.
class caller_front : public caller_port {
public:
  caller_front(boost::asio::io_context &Context, server_limits Limits,
               caller_events &Events);
  ~caller_front() override;
  checked<std::uint16_t> listen(const peer_address &Address) override;
  bool answer(request_id Request, const job_answer &Answer) override;
  /// Jobs name their classes, so the decisions alone need the configuration.
  void setConfiguration(const configuration & /*Configuration*/) override {}
  void announceStop() override;
  void steerCallers(bool Away) override;
  void closeIdle() override;
  void checkCallers() override;
  /// Answers new requests on open connections with `stopping`.
  void stopAccepting() override;
  void drain(std::function<void()> Done) override;
  std::uint32_t getConnections() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

// Operators and announcements: small servers with a handler for each request.

/// A request as a handler sees it.
struct plain_request {
  std::string Method; ///< Upper case.
  std::string Path;   ///< Decoded, without the query.
  std::map<std::string, std::string> Query;
  std::map<std::string, std::string> Headers; ///< Names in lower case.
  std::string Body;
  /// Of the request within its server; names it in plain_server::abandoned.
  std::uint64_t Number = 0;
  /// Its peer had closed the connection before the request was read. Known only
  /// to servers with plain_server::abandoned.
  bool PeerLeft = false;
};

/// As the status of a plain_response: closes the connection without an answer.
constexpr unsigned CloseWithoutAnswer = 0;

struct plain_response {
  unsigned Status = 200;
  std::string ContentType = "application/json";
  std::string Body;
  std::map<std::string, std::string> Headers;
};

/// Serves requests by a handler, which may respond later, once, on the same
/// thread.
class plain_server {
public:
  using respond = std::function<void(plain_response)>;
  using handler = std::function<void(plain_request, respond)>;
  /// The peer has gone before the request of this number was answered.
  using abandoned = std::function<void(std::uint64_t)>;
  /// A connection has ended with so many bytes after its last answer.
  using dropped = std::function<void(std::uint64_t)>;

  plain_server(boost::asio::io_context &Context, server_limits Limits,
               handler Handler, abandoned Abandoned = nullptr,
               dropped Dropped = nullptr);
  ~plain_server();
  checked<std::uint16_t> listen(const peer_address &Address);
  /// Answers say from now on that their connection closes.
  void announceStop();
  /// Whether answers say that their connection closes.
  void steerCallers(bool Away);
  /// Closes the connections on which no request waits for its answer.
  void closeIdle();
  /// Abandons the requests whose peers have left, also those whose leaving has
  /// not been read yet.
  void checkPeers();
  void stopAccepting();
  /// Calls \p Done when every request has been answered and every connection
  /// is closed.
  void drain(std::function<void()> Done);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

/// Parses the body of `POST /v1/announce`; every fault with its place.
checked<companion::endpoint_announcement>
parseAnnouncement(std::string_view Body);

// Clients.

/// Outcome of one request to another server.
struct plain_reply {
  enum class kind : std::uint8_t {
    Answered,   ///< `Response` is filled.
    NotWritten, ///< Nothing was written to the server.
    Lost,       ///< Written, wholly or in part, and no whole answer came.
  };
  kind Kind = kind::NotWritten;
  plain_response Response;
  std::string Reason;
  bool Refused = false; ///< NotWritten, since the connection was refused.
};

/// A client with a pool of kept-alive connections to each server. After a lost
/// answer it opens new connections, as the kept ones may have gone silent too.
class plain_client {
public:
  plain_client(boost::asio::io_context &Context,
               std::uint32_t MaxConnectionsPerServer, duration TimeLimit);
  ~plain_client();
  /// Sends \p Request. A kept connection that closes before any byte of the
  /// answer counts as Lost: it is never retried here. \p TimeLimit takes the
  /// place of the client's own for this request.
  void send(const peer_address &Server, plain_request Request,
            std::function<void(plain_reply)> Done,
            std::optional<duration> TimeLimit = std::nullopt);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

/// Runs tasks by `POST /v1/run` on an endpoint and stops them by `DELETE
/// /v1/run/TASK`.
class endpoint_client : public endpoint_port {
public:
  endpoint_client(boost::asio::io_context &Context, duration TimeLimit);
  ~endpoint_client() override;
  void run(const peer_address &Endpoint, endpoint_call Call,
           std::function<void(endpoint_outcome)> Done) override;
  void stop(const peer_address &Endpoint, const task_id &Task) override;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

/// The table service and object store over HTTP with conditional requests (RFC
/// 9110).
class platform_client : public table_service, public object_store {
public:
  platform_client(boost::asio::io_context &Context, peer_address Platform,
                  duration TimeLimit);
  ~platform_client() override;
  void read(const std::string &Key,
            std::function<void(read_outcome)> Done) override;
  void readRange(const std::string &Prefix,
                 std::function<void(range_outcome)> Done) override;
  void write(std::vector<row_write> Writes,
             std::function<void(std::vector<write_outcome>)> Done) override;
  void put(const std::string &Name, std::string Bytes,
           std::function<void(store_status)> Done) override;
  void get(const std::string &Name,
           std::function<void(store_status, std::optional<std::string>)> Done)
      override;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::http
