/// \file
/// What a submitted job must meet before its load is weighed.
#pragma once

#include "entry_state.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswood::entry {

/// What callers are told to wait when nothing better is known.
constexpr duration NotReadyRetry = std::chrono::seconds(1);

/// \returns the failure of a job that is given up for the crashes under \p
/// Task.
job_failure failureOf(const task_crashes &Task);
/// \returns a failure of a job of which nothing has run.
job_failure notRun(failure_code Code, std::string Reason,
                   std::optional<duration> RetryAfter = std::nullopt);

/// \returns what \p Task needs, with the needs of its class filled in.
task_needs needsOf(const task_request &Task, const class_spec &Class);

/// Finds why a job can't be taken: its own faults, the state of the entry, and
/// limits that have nothing to do with the target of its class.
class submission_check {
public:
  explicit submission_check(entry_state &State) : State(State) {}

  /// \returns nothing if \p Request may be taken.
  std::optional<job_failure> find(const job_request &Request);
  /// Notes which classes have endpoints now. To be called again and again.
  void noteEndpoints();
  /// \returns whether no endpoint has been able to run \p Class for a while.
  bool hasNoEndpoint(class_index Class) const;

private:
  std::optional<job_failure> findFault(const job_request &Request) const;
  std::optional<job_failure> findOverload(const job_request &Request);
  /// \returns whether no endpoint has what some task of \p Request needs.
  bool isOversized(class_index Class, const job_request &Request) const;

  entry_state &State;
  std::vector<instant> RunnableAt; ///< By class: when it last had a runner.
};

} // namespace crocuswood::entry
