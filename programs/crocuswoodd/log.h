/// \file
/// The log of a process: short sentences, each with the prefix of its part.
#pragma once

#include <crocuswood/settings.h>

#include <string>

namespace crocuswood::daemon {

/// Sets up the log for the rest of the process. Called once, before any thread
/// is started.
void setUpLog(const settings::log_settings &Settings);

/// Severity of a line.
enum class log_level { Debug, Info, Warn, Error };

/// Writes one line. \p Part is the fixed prefix, such as `links`. Callable from
/// any thread.
void log(log_level Level, const std::string &Part, const std::string &Sentence);

} // namespace crocuswood::daemon
