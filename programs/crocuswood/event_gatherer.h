/// \file
/// Gathers the time line over all processes.
#pragma once

#include "operators_api.h"
#include "run_context.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswood::command_line {

/// What could be gathered.
struct gathered_events {
  std::vector<timeline_event> Events; ///< Merged.
  bool Complete = true;               ///< Every process has answered.
};

/// \returns the events of all processes, or of \p Job only. Prints each process
/// that gave no answer.
api_result<gathered_events> gatherEvents(const operators_api &Api,
                                         std::optional<job_id> Job,
                                         run_context &Context);

} // namespace crocuswood::command_line
