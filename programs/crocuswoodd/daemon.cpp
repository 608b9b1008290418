#include "daemon.h"

#include "asio.h"
#include "log.h"

#include <crocuswood/rings.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
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

// How often the settings file is looked at.
constexpr std::chrono::seconds WatchInterval{2};

/// Looks at a file again and again, and calls a function when its content may
/// have changed.
class file_watch {
public:
  file_watch(boost::asio::io_context &Context, std::string File,
             std::function<void()> Changed)
      : Timer(Context), File(std::move(File)), Changed(std::move(Changed)),
        Seen(look()) {
    schedule();
  }

  /// Takes the content as changed.
  void trigger() {
    Seen = look();
    Changed();
  }

private:
  std::filesystem::file_time_type look() const {
    std::error_code Error;
    const auto Written = std::filesystem::last_write_time(File, Error);
    // A file that is just being replaced is looked at again later.
    return Error ? Seen : Written;
  }

  void schedule() {
    Timer.expires_after(WatchInterval);
    Timer.async_wait([this](const boost::system::error_code &Error) {
      if (Error) {
        return;
      }
      if (look() != Seen) {
        trigger();
      }
      schedule();
    });
  }

  boost::asio::steady_timer Timer;
  std::string File;
  std::function<void()> Changed;
  std::filesystem::file_time_type Seen{};
};

} // namespace

std::optional<std::string> readFile(const std::string &Name) {
  std::ifstream File(Name);
  if (!File) {
    return std::nullopt;
  }
  std::ostringstream Text;
  Text << File.rdbuf();
  return Text.str();
}

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

class process_signals::implementation {
public:
  implementation()
      : Stops(Context, SIGTERM, SIGINT), Hangups(Context, SIGHUP),
        Timer(Context) {}

  bool waitForStop(const signal_handlers &Handlers,
                   std::future<void> Finished) {
    const auto Shared =
        std::make_shared<std::future<void>>(std::move(Finished));
    file_watch Watch(Context, Handlers.SettingsFile, Handlers.Reload);
    waitForHangup(Watch);
    Stops.async_wait([&](const boost::system::error_code &Error, int) {
      if (Error) {
        return;
      }
      Handlers.Stop();
      pollFinished(Context, Timer, Shared);
      waitForInterrupt();
    });
    Context.run();
    return Shared->wait_for(std::chrono::seconds(0)) ==
           std::future_status::ready;
  }

private:
  void waitForHangup(file_watch &Watch) {
    Hangups.async_wait([&](const boost::system::error_code &Error, int) {
      if (Error) {
        return;
      }
      Watch.trigger();
      waitForHangup(Watch);
    });
  }

  // A supervisor may repeat SIGTERM; only a person sends SIGINT.
  void waitForInterrupt() {
    Stops.async_wait([&](const boost::system::error_code &Error, int Number) {
      if (Error) {
        return;
      }
      if (Number == SIGINT) {
        Context.stop();
        return;
      }
      log(log_level::Info, "signals", "The process stops already.");
      waitForInterrupt();
    });
  }

  boost::asio::io_context Context;
  boost::asio::signal_set Stops;
  boost::asio::signal_set Hangups;
  boost::asio::steady_timer Timer;
};

process_signals::process_signals() : Impl(std::make_unique<implementation>()) {}

process_signals::~process_signals() = default;

bool process_signals::waitForStop(const signal_handlers &Handlers,
                                  std::future<void> Finished) {
  return Impl->waitForStop(Handlers, std::move(Finished));
}

} // namespace crocuswood::daemon
