/// \file
/// Ends jobs that would wait without end.
#pragma once

#include "admission.h"
#include "entry_state.h"
#include "job_manager.h"

namespace crocuswood::entry {

/// Fails jobs taken as late that have waited too long, and jobs with a task
/// that every companion has given back or is too small for.
class waiting_check {
public:
  waiting_check(entry_state &State, job_manager &Jobs, admission &Admission)
      : State(State), Jobs(Jobs), Admission(Admission) {}

  void checkTimes();

private:
  /// Moves jobs that have missed their target behind those that can meet it.
  /// Otherwise an overload makes every job a little late.
  void demote(class_index Class);
  void checkLate(class_index Class);
  void checkRetries();
  void checkOversized();
  /// Lets companions whose give-back is not final be tried again. \returns
  /// false if there is none.
  static bool forgetPassing(job &Job, std::uint32_t Index);

  entry_state &State;
  job_manager &Jobs;
  admission &Admission;
};

} // namespace crocuswood::entry
