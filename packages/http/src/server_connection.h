/// \file
/// One accepted connection: reads requests, writes answers in their order.
#pragma once

#include "beast.h"

#include <crocuswood/http.h>

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::http {

using server_request = beast_http::request<beast_http::string_body>;

/// What is written for a request.
struct server_response {
  unsigned Status = 200;
  std::string Body;
  std::string ContentType = "application/json";
  std::vector<std::pair<std::string, std::string>> Headers;
};

/// Number of a request within its connection.
using slot_number = std::uint64_t;

class server_connection;

/// Receives what happens on the connections of a server.
class connection_handler {
public:
  virtual ~connection_handler() = default;
  /// A whole request has arrived. It is answered now or later by
  /// server_connection::respond().
  virtual void requestReceived(server_connection &Connection, slot_number Slot,
                               server_request Request) = 0;
  /// \returns the answer to input that is no valid request.
  virtual server_response rejectInput(unsigned Status,
                                      const std::string &Reason) = 0;
  /// The peer went away before the request with this tag was answered.
  virtual void requestAbandoned(std::uint64_t Tag) = 0;
  /// The connection ends with input that came after its last answer.
  virtual void inputDropped(std::uint64_t Bytes) = 0;
  /// The connection is closed and can be released.
  virtual void connectionClosed(server_connection &Connection) = 0;
};

/// Bounds and state that all connections of a server share.
struct server_state {
  server_limits Limits;
  bool Stopping = false; ///< Answers say `Connection: close`.
  bool Steering = false; ///< The same, while callers should go elsewhere.
  bool Draining = false; ///< Connections without a request close.
  memory_account *Memory = nullptr; ///< Never null while connections exist.
};

/// One accepted connection.
class server_connection
    : public std::enable_shared_from_this<server_connection> {
public:
  server_connection(tcp::socket Socket, server_state &State,
                    connection_handler &Handler);
  ~server_connection();
  server_connection(const server_connection &) = delete;
  server_connection &operator=(const server_connection &) = delete;

  void start();
  /// Sets the tag that names \p Slot in requestAbandoned().
  void tag(slot_number Slot, std::uint64_t Tag);
  /// Sets the answer of \p Slot. Answers to closed connections are ignored.
  void respond(slot_number Slot, server_response Response);
  /// Closes at once, whatever is under way.
  void close();
  /// What may be closed to make place for another connection.
  struct displaceable {
    bool Unfinished = false; ///< A request has begun to arrive.
    steady_clock::time_point Since;
  };
  /// \returns nothing if a request waits for its answer, or an answer for its
  /// peer.
  std::optional<displaceable> getDisplaceable() const;
  /// \returns whether nothing has arrived since the last request.
  bool isSilent() { return isIdle() && !hasUnreadInput(); }
  /// Tells the peer that nothing has run and closes.
  void displace();
  /// Closes if the last answer was sent at least \p Least before \p Now.
  void closeAfterLinger(steady_clock::time_point Now, duration Least);
  const asio::ip::address &getPeer() const { return Peer; }
  /// Closes the connection if nothing is under way on it. The caller is told
  /// that nothing more is taken, in case a request crosses the end.
  void closeIfIdle();
  /// \returns whether the peer has closed the connection, though that has not
  /// been read yet. What it asked for may have been asked elsewhere since.
  bool hasPeerLeft();
  /// Abandons the requests that wait for answers if the peer has left.
  void checkPeer();
  /// Enforces the time limits.
  void checkTime(steady_clock::time_point Now);
  /// Closes at once and makes no further call to the handler.
  void detach();
  /// Rejects the peer without reading anything.
  void rejectAtOnce(unsigned Status, const std::string &Reason);

private:
  /// Size of the first read of a request, and of the buffer that is kept for
  /// the next one.
  static constexpr std::size_t HeaderReadBytes = 8'192;

  using parser = beast_http::request_parser<beast_http::string_body>;

  struct slot {
    std::uint64_t Tag = 0;
    bool KeepAlive = true;
    bool Interim = false;           ///< `100 Continue` in place of an answer.
    std::uint64_t RequestBytes = 0; ///< Held until the answer is there.
    std::uint64_t AnswerBytes = 0;
    std::optional<server_response> Response;
  };

  void read();
  void takeReady(error_code Error);
  void releaseInput();
  void openAccount();
  void closeAccount();
  void account();
  std::uint64_t measureInput() const;
  std::uint64_t measureHead() const;
  void dropUnfinished(budget_cause Cause);
  bool isStalled(steady_clock::time_point Now);
  void bytesRead(error_code Error, std::size_t Bytes);
  void parseInput();
  bool parseSome();
  bool headerComplete();
  void dropParser();
  void continueIfExpected();
  duration requestLimit() const;
  void requestComplete();
  bool makeRoom(std::uint64_t Bytes);
  void refuseWhole(slot_number Slot);
  void rejectFault(unsigned Status, const std::string &Reason);
  void peerClosed();
  void abandonRequests();
  void flush();
  bool appendNextAnswer();
  void writeSome();
  void bytesWritten(error_code Error, std::size_t Bytes);
  void endIdle();
  void linger();
  bool isIdle() const;
  bool hasUnreadInput();
  bool closesAfter(const slot &Slot);

  tcp::socket Socket;
  asio::ip::address Peer;
  server_state &State;
  connection_handler *Handler;
  beast::flat_buffer Input;
  std::optional<parser> Parser;
  bool HeaderSeen = false;
  std::uint64_t HeadInput = 0;          ///< Bytes of the head that is arriving.
  std::uint64_t HeadBytes = 0;          ///< Held for the head of this request.
  std::uint64_t RequestBytes = 0;       ///< Of all slots.
  std::uint64_t AnswerBytes = 0;        ///< Of all slots.
  memory_account::holder_id Holder = 0; ///< 0 without an account.
  buffer_sizes Accounted{};
  bool AccountedUnfinished = false;
  bool DropAsked = false; ///< While input was parsed.
  std::deque<slot> Slots;
  slot_number FirstSlot = 0; ///< Number of the front of `Slots`.
  std::string Output;
  std::size_t OutputWritten = 0;
  bool Reading = false;
  bool Writing = false;
  bool Parsing = false;
  bool InputEnded = false;  ///< Input is read only to notice the end.
  bool FinalAnswer = false; ///< `Output` holds the last answer.
  bool Lingering = false;
  bool Closed = false;
  std::size_t Discarded = 0;
  steady_clock::time_point RequestBegan;
  steady_clock::time_point LastProgress;
  /// Since when and from where the present rate is measured.
  steady_clock::time_point RateBegan;
  std::uint64_t Moved = 0; ///< Bytes read and written in that time.
};

} // namespace crocuswood::http
