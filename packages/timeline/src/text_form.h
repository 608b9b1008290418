/// \file
/// Texts of times and spans for people.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <string>

namespace crocuswood::timeline {

/// \returns the date and time of \p Time in UTC, with microseconds.
std::string formatTime(const hybrid_time &Time);
/// \returns \p Microseconds in a unit that people read easily, such as
/// `12.3 ms`.
std::string formatSpan(std::int64_t Microseconds);
/// \returns the span from \p From to \p To.
std::string formatBetween(const timeline_event &From, const timeline_event &To);
/// \returns \p Count and \p Singular, with a plural s unless it is one.
std::string formatCount(std::int64_t Count, const std::string &Singular);

} // namespace crocuswood::timeline
