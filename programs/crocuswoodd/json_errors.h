/// \file
/// Error bodies of the daemon's plain servers.
#pragma once

#include <crocuswood/http.h>
#include <crocuswood/model.h>

#include <string>

namespace crocuswood::daemon {

/// \returns `{"error": CODE, "message": MESSAGE}`, with the findings if there
/// are any.
http::plain_response makeError(unsigned Status, const std::string &Code,
                               const std::string &Message,
                               const findings &Faults = {});

} // namespace crocuswood::daemon
