/// \file
/// Reads values from JSON that a server sent, which may be anything.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include <cstdint>
#include <string>

namespace crocuswood::command_line {

/// \returns the text below \p Key, or an empty one.
std::string textOf(const nlohmann::json &Object, const char *Key);
/// \returns the whole number below \p Key of the document \p Text, or 0.
std::uint64_t wholeOf(const std::string &Text, const char *Key);
/// \returns what the body of an error says: its message and findings, or the
/// body itself.
std::string describeError(const std::string &Body);

} // namespace crocuswood::command_line
