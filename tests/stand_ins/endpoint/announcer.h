/// \file
/// Announces the endpoint to the companion beside it.
#pragma once

#include "common/stand_in.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <string>
#include <vector>

namespace crocuswood::stand_ins {

/// What an endpoint says of itself.
struct announcement {
  std::string Name;
  peer_address Address;
  std::vector<std::string> Classes;
  std::uint32_t Slots = 8;
  std::uint64_t MemoryBytes = 0;
  std::uint32_t Accelerators = 0;
};

/// Repeats the announcement every second.
class announcer {
public:
  announcer(boost::asio::io_context &Context, peer_address Companion,
            announcement Announcement);

  void start();
  /// Says from now on that the endpoint leaves, and calls \p Acknowledged when
  /// the companion has heard it or gives no answer for several attempts.
  void leave(std::function<void()> Acknowledged);

private:
  void announce();
  void answered(const http::plain_reply &Reply, bool SaidLeaving);
  std::string write() const;

  peer_address Companion;
  announcement Announcement;
  boost::asio::steady_timer Timer;
  http::plain_client Client;
  bool Leaving = false;
  int LeaveAttempts = 0;
  std::function<void()> Acknowledged;
};

} // namespace crocuswood::stand_ins
