/// \file
/// What the daemons of both roles have in common.
#pragma once

#include <crocuswood/model.h>

#include <functional>
#include <future>
#include <memory>
#include <optional>
#include <string>

namespace crocuswood::rings {
class duty;
}

namespace crocuswood::daemon {

/// Exit codes of crocuswoodd.
enum exit_code : int {
  ExitDone = 0,
  ExitFailed = 1, ///< It could not start, for example because a port is taken.
  ExitBadInput = 2, ///< Wrong command line or settings.
};

/// \returns the content of a file, or nothing if it can't be read.
std::optional<std::string> readFile(const std::string &Name);

/// \returns a new incarnation from the system's random source.
incarnation drawIncarnation();

/// Reports a port that could not be opened. \returns whether it was opened.
bool reportListening(const checked<std::uint16_t> &Port,
                     const std::string &Part, const peer_address &Address);

/// Runs \p Work on \p Duty, gives it a function to call at its end, and waits
/// for that call, but not longer than \p Limit. \returns whether it came.
bool runAndWait(rings::duty &Duty, duration Limit,
                std::function<void(std::function<void()> Done)> Work);

/// What the main thread does at signals and file changes.
struct signal_handlers {
  std::function<void()> Stop; ///< At SIGTERM and SIGINT.
  /// At SIGHUP, and when the settings file has changed.
  std::function<void()> Reload;
  std::string SettingsFile; ///< Watched for changes.
};

/// Catches the signals of the process as long as it exists, so that none of
/// them ends the process in the middle of its start or of a planned stop.
class process_signals {
public:
  process_signals();
  ~process_signals();
  process_signals(const process_signals &) = delete;
  process_signals &operator=(const process_signals &) = delete;

  /// Waits for SIGTERM or SIGINT and returns when \p Finished is ready after
  /// it. A later SIGINT makes it return at once, a later SIGTERM changes
  /// nothing. \returns whether \p Finished became ready.
  bool waitForStop(const signal_handlers &Handlers, std::future<void> Finished);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::daemon
