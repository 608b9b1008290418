/// \file
/// Compares what a trace states with what was seen.
#pragma once

#include "fleet.h"
#include "trace_content.h"

#include <crocuswood/checker.h>
#include <crocuswood/replay.h>

#include <optional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// What the outcomes are judged by.
struct evidence {
  const trace_content &Trace;
  const std::vector<submission> &Submissions;
  const std::vector<timeline_event> &Timeline;
  const checker::verdict &Verdict;
  double WastedPerTask = 0;
  double Goodput = 0;
  std::uint64_t LeastRevision = 0;
  std::uint64_t Unstopped = 0;
};

/// \returns the stated outcomes, and those that hold for every trace: a clean
/// checker, an answer for each request, right answers, finished stops.
std::vector<outcome_result> judgeOutcomes(const evidence &Evidence);

} // namespace crocuswood::replay
