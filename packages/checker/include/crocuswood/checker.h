/// \file
/// Public header of the package checker: judges every promise from the time
/// line alone.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crocuswood::checker {

/// Rules that a time line can break.
enum class rule : std::uint8_t {
  StartsAtMostOnce,     ///< A task started or ran on an endpoint twice.
  CompleteOrFailed,     ///< A completed job lacks a task's end.
  AnswerToItsOwner,     ///< An answer's digest differs from the job's outcome.
  NotRunIsTrue,         ///< `not_run` was said of a job with a start.
  KeyRunsAtMostOnce,    ///< A key's tasks started for more than one job of the
                        ///< team.
  NoPlacementOnLeaving, ///< A task was placed on an endpoint too long after it
                        ///< left.
  StopCutsOffNothing,   ///< A planned stop ended a job as lost.
  RevisionNeverFalls,   ///< A process went to a smaller configuration revision.
  RevisionInForceInTime, ///< A live process did not reach an accepted revision
                         ///< in time.
  OneEnd,                ///< An accepted job has no end, or more than one.
};

/// \returns the rule in snake case.
std::string toString(rule Rule);

struct limits {
  duration LeavingLimit = std::chrono::seconds(3);
  duration InForceLimit = std::chrono::seconds(12);
  bool ExpectEnds =
      true; ///< The time line is complete, so every accepted job has its end.
};

struct violation {
  rule Rule = rule::OneEnd;
  std::string Message; ///< Names job, task, process and both events.

  friend auto operator<=>(const violation &, const violation &) = default;
};

struct verdict {
  std::vector<violation> Violations;
  std::uint64_t Jobs = 0;
  std::uint64_t Starts = 0;
  std::uint64_t Events = 0;
};

/// Judges \p Events, ordered as by timeline::merge().
verdict judge(const std::vector<timeline_event> &Events,
              const limits &Limits = {});

} // namespace crocuswood::checker
