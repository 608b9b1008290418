/// \file
/// All links of a process.
#pragma once

#include "link_connection.h"

#include <crocuswood/wire.h>

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace crocuswood::wire {

/// Keeps the connections by the ids of their links, and the listening socket.
class link_hub : public connection_observer,
                 public std::enable_shared_from_this<link_hub> {
public:
  link_hub(boost::asio::io_context &Context, const limits &Limits,
           link_events &Events);

  checked<std::uint16_t> listen(const peer_address &Address);
  void stopListening();
  void dial(link_id Link, const peer_address &Remote);
  void send(link_id Link, const peer_envelope &Envelope);
  void close(link_id Link);
  void drain(std::function<void()> Done);
  /// Closes everything. No event follows.
  void shutDown();
  const traffic &getTraffic() const { return Common.Traffic; }

  void connectionOpened(link_connection &Connection) override;
  void connectionReceived(link_connection &Connection,
                          peer_envelope Envelope) override;
  void connectionEnded(link_connection &Connection,
                       const std::string &Reason) override;

private:
  void acceptNext();
  void accepted(boost::asio::ip::tcp::socket Socket);
  void closeOldestUnopened();
  void acceptLater();
  void finishDrain();

  connection_surroundings Common;
  link_events &Events;
  boost::asio::ip::tcp::acceptor Acceptor;
  boost::asio::steady_timer AcceptTimer;
  std::map<link_id, std::shared_ptr<link_connection>> Connections;
  std::set<link_id> WaitingLinks; ///< Accepted connections, the oldest first.
  std::uint64_t AcceptedLinks = 0;
  std::function<void()> DrainDone;
};

} // namespace crocuswood::wire
