/// \file
/// What operators state: classes of work by target, and teams by quota.
#pragma once

#include <crocuswood/model/time.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>

namespace crocuswood {

/// A class of work and its target.
struct class_spec {
  std::string Name;
  duration AnswerWithin{}; ///< Response time that the quantile of all jobs
                           ///< should meet.
  double Quantile =
      0.99; ///< Share of answered jobs that should meet `AnswerWithin`.
  double RefuseAtMost =
      0; ///< Share of jobs that may be refused under load, 0 to 1.
  bool Idempotent =
      true; ///< If not, jobs need an idempotency key and run at most once.
  std::uint64_t MemoryBytes = 0;  ///< Memory that one task needs.
  std::uint32_t Accelerators = 0; ///< Accelerators that one task needs.
  /// Classes with a smaller number go first, whatever the targets are.
  std::uint32_t Priority = 0;
  /// Runs of a task of a repeatable job that may fail before the job fails.
  std::uint32_t MaxAttempts = 1;
  /// Part of the target that depends on the tasks: `AnswerWithin` is extended
  /// by this many times the run time of a task.
  double RunTimeFactor = 0;
  /// Answers later than this many times the target are of no use to callers;
  /// 0 means that this is not known.
  double UsefulTargets = 0;
  /// Endpoints that announce this name run the class; empty: its own name.
  std::string Pool;
  /// Where callers submit jobs of the class, if their interface addresses
  /// classes by host and path. The longest matching prefix decides.
  std::string Host;
  std::string PathPrefix;

  friend auto operator<=>(const class_spec &, const class_spec &) = default;
};

/// \returns the name that endpoints announce to run \p Class.
inline const std::string &poolOf(const class_spec &Class) {
  return Class.Pool.empty() ? Class.Name : Class.Pool;
}

/// A team and its quota.
struct team_spec {
  std::string Name;
  double TaskStartsPerSecond =
      0; ///< Over all entries together; 0 means no limit.

  friend auto operator<=>(const team_spec &, const team_spec &) = default;
};

/// The whole configuration at one revision. Greater revisions replace smaller
/// ones.
struct configuration {
  std::uint64_t Revision = 0; ///< 0 means that nothing has been configured yet.
  std::string ChangeId;       ///< The change that led to this revision.
  std::map<std::string, class_spec> Classes;
  std::map<std::string, team_spec> Teams;

  friend bool operator==(const configuration &,
                         const configuration &) = default;
};

} // namespace crocuswood
