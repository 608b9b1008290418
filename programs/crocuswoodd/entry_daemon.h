/// \file
/// The entry process: its duties and the rings between them.
#pragma once

#include <crocuswood/settings.h>

#include <string>

namespace crocuswood::daemon {

class process_signals;

/// Runs an entry until a planned stop has ended. \returns the exit code.
int runEntry(const settings::entry_settings &Settings,
             const std::string &SettingsFile, process_signals &Signals);

} // namespace crocuswood::daemon
