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

/// Waits for SIGTERM or SIGINT and returns when \p Finished is ready after it.
/// A second signal makes it return at once. \returns whether \p Finished
/// became ready.
bool waitForStop(const signal_handlers &Handlers, std::future<void> Finished);

} // namespace crocuswood::daemon
