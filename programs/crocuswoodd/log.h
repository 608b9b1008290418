/// \file
/// The log of a process: short sentences, each with the prefix of its part.
#pragma once

#include <crocuswood/settings.h>

#include <memory>
#include <string>

namespace crocuswood::daemon {

/// Sets up the log for the whole process. Lives as long as main().
class log_setup {
public:
  explicit log_setup(const settings::log_settings &Settings);
  ~log_setup();
  log_setup(const log_setup &) = delete;
  log_setup &operator=(const log_setup &) = delete;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

/// Severity of a line.
enum class log_level { Debug, Info, Warn, Error };

/// Writes one line. \p Part is the fixed prefix, such as `links`. Callable from
/// any thread.
void log(log_level Level, const std::string &Part, const std::string &Sentence);

} // namespace crocuswood::daemon
