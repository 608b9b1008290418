/// \file
/// The companion process: its duties and the rings between them.
#pragma once

#include <crocuswood/settings.h>

#include <string>

namespace crocuswood::daemon {

class process_signals;

/// Runs a companion until a planned stop has ended. \returns the exit code.
int runCompanion(const settings::companion_settings &Settings,
                 const std::string &SettingsFile, process_signals &Signals);

} // namespace crocuswood::daemon
