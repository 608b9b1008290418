/// \file
/// Targets of requests as text.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswood::http {

/// \returns \p Text with everything but unreserved characters and `/` as
/// percent escapes.
std::string percentEncode(std::string_view Text);
/// \returns nothing if an escape is malformed.
std::optional<std::string> percentDecode(std::string_view Text);

/// The path and the query of a request.
struct request_target {
  std::string Path; ///< Decoded.
  std::map<std::string, std::string> Query;
};
/// \returns nothing if \p Text is malformed.
std::optional<request_target> parseTarget(std::string_view Text);

} // namespace crocuswood::http
