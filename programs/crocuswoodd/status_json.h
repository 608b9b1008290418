/// \file
/// The status of both roles as JSON.
#pragma once

#include "items.h"

#include <crocuswood/model.h>

#include <string>

namespace crocuswood::daemon {

/// \returns the body of `GET /v1/status`.
std::string writeStatus(const process_id &Self, const std::string &Zone,
                        const status_snapshot &Status);

/// \returns gauges of what the process knows now, in the Prometheus text
/// format.
std::string writeGauges(const status_snapshot &Status);

} // namespace crocuswood::daemon
