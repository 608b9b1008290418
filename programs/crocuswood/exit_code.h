/// \file
/// Exit codes of the command line.
#pragma once

namespace crocuswood::command_line {

enum class exit_code : int {
  Done = 0,
  Failed = 1,      ///< Refused, failed, or in conflict with another change.
  Usage = 2,       ///< Wrong arguments or a faulty input.
  Unreachable = 3, ///< A process or the table service gave no usable answer.
};

} // namespace crocuswood::command_line
