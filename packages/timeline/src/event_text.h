/// \file
/// What an event tells, in words.
#pragma once

#include <crocuswood/model.h>

#include <string>

namespace crocuswood::timeline {

/// \returns what happened, without time, process, job and task; for example
/// `placed on companion runner-1`.
std::string writeHappening(const timeline_event &Event);

} // namespace crocuswood::timeline
