/// \file
/// Spans of time as callers write them.
#pragma once

#include <crocuswood/model/time.h>

#include <optional>
#include <string_view>

namespace crocuswood::http {

/// Parses a positive number with a unit: `us`, `ms`, `s`, `m` or `h`, such as
/// `300ms` or `1.5s`. \returns nothing if \p Text is something else, or more
/// than a year.
std::optional<duration> parseDuration(std::string_view Text);

} // namespace crocuswood::http
