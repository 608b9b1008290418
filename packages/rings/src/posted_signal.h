/// \file
/// A wake signal that runs a function on a context.
#pragma once

#include <crocuswood/rings.h>

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <functional>

namespace crocuswood::rings {

/// Posts a function at most once until it runs.
class posted_signal final : public wake_signal {
public:
  /// \p Context must not run any more when this object is destroyed.
  posted_signal(boost::asio::io_context &Context, std::function<void()> Wake)
      : Context(Context), Wake(std::move(Wake)) {}

  void raise() override;

private:
  boost::asio::io_context &Context;
  std::function<void()> Wake;
  std::atomic<bool> Raised{false};
};

} // namespace crocuswood::rings
