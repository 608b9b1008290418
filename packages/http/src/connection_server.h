/// \file
/// Accepts connections, keeps them within their bounds and closes them.
#pragma once

#include "server_connection.h"

#include <functional>
#include <map>
#include <unordered_map>

namespace crocuswood::http {

/// Gives whole requests to whoever answers them.
class request_handler {
public:
  virtual ~request_handler() = default;
  virtual void requestReceived(server_connection &Connection, slot_number Slot,
                               server_request Request) = 0;
  /// \returns the answer to input that is no valid request.
  virtual server_response rejectInput(unsigned Status,
                                      const std::string &Reason) = 0;
  virtual void requestAbandoned(std::uint64_t Tag) = 0;
  virtual void inputDropped(std::uint64_t Bytes) = 0;
};

/// A listening socket and the connections that came in by it.
class connection_server final : public connection_handler {
public:
  /// \p Context and \p Requests must outlive this object.
  connection_server(asio::io_context &Context, server_limits Limits,
                    request_handler &Requests);
  ~connection_server() override;
  connection_server(const connection_server &) = delete;
  connection_server &operator=(const connection_server &) = delete;

  checked<std::uint16_t> listen(const peer_address &Address);
  /// Answers say from now on that their connection closes.
  void announceStop() { State.Stopping = true; }
  /// Whether answers say that their connection closes.
  void steerCallers(bool Away) { State.Steering = Away; }
  /// Closes the connections on which no request waits for its answer.
  void closeIdle();
  /// Abandons the requests whose peers have left.
  void checkPeers();
  void stopAccepting();
  void drain(std::function<void()> Done);
  bool isAccepting() const { return Acceptor.is_open(); }
  std::uint32_t getConnections() const;

  void requestReceived(server_connection &Connection, slot_number Slot,
                       server_request Request) override;
  server_response rejectInput(unsigned Status,
                              const std::string &Reason) override;
  void requestAbandoned(std::uint64_t Tag) override;
  void inputDropped(std::uint64_t Bytes) override;
  void connectionClosed(server_connection &Connection) override;

private:
  void accept();
  void accepted(error_code Error, tcp::socket Socket);
  void acceptNext();
  void shortenLingers();
  bool makePlace();
  std::shared_ptr<server_connection> findDisplaceable();
  void acceptWaiting();
  void add(tcp::socket Socket);
  std::vector<std::shared_ptr<server_connection>> listConnections() const;
  void scheduleCheck();
  void finishDrain();

  asio::io_context &Context;
  std::unique_ptr<memory_account> OwnMemory;
  server_state State;
  request_handler &Requests;
  tcp::acceptor Acceptor;
  asio::steady_timer CheckTimer;
  asio::steady_timer AcceptTimer;
  bool AcceptPaused = false; ///< Until connections have closed.
  std::unordered_map<server_connection *, std::shared_ptr<server_connection>>
      Connections;
  std::map<asio::ip::address, std::uint32_t> OpenByPeer;
  std::function<void()> DrainDone;
  /// Tells late callbacks of the sockets and timers that this object is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

} // namespace crocuswood::http
