/// \file
/// Faults found in an input, collected and reported together.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood {

/// One fault and where it is.
struct finding {
  std::string Source; ///< File name, or the name of the input such as `body`.
  std::uint32_t Line = 0;   ///< From 1; 0 when the input has no lines.
  std::uint32_t Column = 0; ///< From 1; 0 when unknown.
  std::string Path; ///< Key path inside the input, such as `tasks[3].input`.
  std::string Message;

  friend auto operator<=>(const finding &, const finding &) = default;
};

/// All faults of one input, in the order of their places.
using findings = std::vector<finding>;

/// Either a value or the faults that prevent it.
template <class Value> using checked = std::variant<Value, findings>;

/// \returns `SOURCE:LINE:COLUMN: PATH: MESSAGE`, leaving out what is unknown.
std::string toString(const finding &Value);
/// \returns one line for each finding.
std::string toString(const findings &Values);

} // namespace crocuswood
