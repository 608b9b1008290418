/// \file
/// The companion process: its duties and the rings between them.
#pragma once

#include <crocuswood/settings.h>

namespace crocuswood::daemon {

/// Runs a companion until a planned stop has ended. \returns the exit code.
int runCompanion(const settings::companion_settings &Settings);

} // namespace crocuswood::daemon
