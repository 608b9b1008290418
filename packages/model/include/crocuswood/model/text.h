/// \file
/// Texts of values in settings, documents and requests.
#pragma once

#include <crocuswood/model/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswood {

/// Longest span that parseDuration() accepts.
constexpr duration MaxDuration = std::chrono::hours(24 * 365);

/// Parses a number, with a fraction if need be, and a unit: `us`, `ms`, `s`,
/// `m` or `h`. \returns nothing for any other text, and for spans that are
/// longer than MaxDuration or no whole number of microseconds.
std::optional<duration> parseDuration(std::string_view Text);
/// \returns \p Value in the largest unit that needs no fraction, such as
/// `400ms`.
std::string formatDuration(duration Value);

/// Parses a plain number of bytes, or one followed by `KB` or `MB` (powers of
/// 1,024).
std::optional<std::uint64_t> parseByteSize(std::string_view Text);

/// Longest name of a process, a class or a team.
constexpr std::size_t MaxNameLength = 64;

/// \returns whether \p Text is a name: `[a-z0-9][a-z0-9_.-]*`, and not too
/// long.
bool isName(std::string_view Text);

} // namespace crocuswood
