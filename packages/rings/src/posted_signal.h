/// \file
/// A wake signal that runs a function on the thread of a context.
#pragma once

#include <crocuswood/rings.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>
#include <utility>
#include <vector>

namespace crocuswood::rings {

class posted_signal;

/// Signals that the thread of a context has raised itself. It runs them after
/// the handler at hand, without the system calls of a post.
class raised_signals {
public:
  void add(posted_signal &Signal) { Signals.push_back(&Signal); }
  /// Runs the signals, and those that are raised meanwhile.
  void run();

private:
  std::vector<posted_signal *> Signals;
};

/// Runs a function once for all raises before it.
class posted_signal final : public wake_signal {
public:
  /// \p Context must not run any more when this object is destroyed.
  posted_signal(boost::asio::io_context &Context, raised_signals &Local,
                std::function<void()> Wake)
      : Context(Context), Local(Local), Wake(std::move(Wake)) {}

  void raise() override;
  /// To be called on the thread of the context, once for each time that
  /// raise() found the signal lowered.
  void run();

private:
  boost::asio::io_context &Context;
  raised_signals &Local;
  std::function<void()> Wake;
  std::atomic<bool> Raised{false};
};

} // namespace crocuswood::rings
