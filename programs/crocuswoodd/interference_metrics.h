/// \file
/// Metrics of what an entry knows of interference.
#pragma once

#include <crocuswood/entry.h>

#include <string>

namespace crocuswood::daemon {

/// \returns the figures in the Prometheus text format, or nothing if the entry
/// does not avoid interference.
std::string writeInterferenceMetrics(const entry::status &Status);

} // namespace crocuswood::daemon
