#include "daemon.h"

#include "asio.h"
#include "log.h"

#include <crocuswood/rings.h>

#include <chrono>
#include <csignal>
#include <random>
#include <utility>

namespace crocuswood::daemon {

namespace {

// How often the end of a planned stop is looked for.
constexpr std::chrono::milliseconds FinishPoll{50};

// Looks for the end of a planned stop until it comes.
void pollFinished(boost::asio::io_context &Context,
                  boost::asio::steady_timer &Timer,
                  const std::shared_ptr<std::future<void>> &Finished) {
  if (Finished->wait_for(std::chrono::seconds(0)) ==
      std::future_status::ready) {
    Context.stop();
    return;
  }
  Timer.expires_after(FinishPoll);
  Timer.async_wait(
      [&Context, &Timer, Finished](const boost::system::error_code &Error) {
        if (!Error) {
          pollFinished(Context, Timer, Finished);
        }
      });
}

} // namespace

incarnation drawIncarnation() {
  constexpr unsigned HalfBits = 32;
  std::random_device Device;
  const std::uint64_t High = Device();
  return incarnation{(High << HalfBits) | Device()};
}

bool reportListening(const checked<std::uint16_t> &Port,
                     const std::string &Part, const peer_address &Address) {
  if (const auto *Faults = std::get_if<findings>(&Port)) {
    log(log_level::Error, Part,
        "Cannot listen on " + toString(Address) + ": " +
            Faults->front().Message + ".");
    return false;
  }
  const peer_address Actual{.Host = Address.Host,
                            .Port = std::get<std::uint16_t>(Port)};
  log(log_level::Info, Part, "Listens on " + toString(Actual) + ".");
  return true;
}

bool runAndWait(rings::duty &Duty, duration Limit,
                std::function<void(std::function<void()> Done)> Work) {
  const auto Promise = std::make_shared<std::promise<void>>();
  std::future<void> Future = Promise->get_future();
  Duty.post([Work = std::move(Work), Promise] {
    Work([Promise] { Promise->set_value(); });
  });
  return Future.wait_for(Limit) == std::future_status::ready;
}

bool waitForStop(const std::function<void()> &OnStop,
                 std::future<void> Finished) {
  boost::asio::io_context Context;
  boost::asio::signal_set Signals(Context, SIGTERM, SIGINT);
  boost::asio::steady_timer Timer(Context);
  const auto Shared = std::make_shared<std::future<void>>(std::move(Finished));
  Signals.async_wait([&](const boost::system::error_code &Error, int) {
    if (Error) {
      return;
    }
    OnStop();
    pollFinished(Context, Timer, Shared);
    Signals.async_wait([&](const boost::system::error_code &SecondError, int) {
      if (!SecondError) {
        Context.stop();
      }
    });
  });
  Context.run();
  return Shared->wait_for(std::chrono::seconds(0)) == std::future_status::ready;
}

} // namespace crocuswood::daemon
