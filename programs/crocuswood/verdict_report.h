/// \file
/// Prints verdicts of the checker.
#pragma once

#include "exit_code.h"

#include <crocuswood/checker.h>

#include <iosfwd>

namespace crocuswood::command_line {

/// Prints the violations and the number of rules that passed and failed.
/// \returns the code for \p Verdict.
exit_code reportVerdict(const checker::verdict &Verdict, bool AsJson,
                        std::ostream &Out);

} // namespace crocuswood::command_line
