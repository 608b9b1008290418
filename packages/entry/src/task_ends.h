/// \file
/// What entries learn about the tasks that they placed.
#pragma once

#include "entry_state.h"
#include "health.h"
#include "job_manager.h"

#include <string>

namespace crocuswood::entry {

/// Takes the ends of tasks and passes on what follows for their jobs.
class task_ends {
public:
  task_ends(entry_state &State, job_manager &Jobs, health &Health);

  /// Takes the last word of a companion on a task.
  void takeEnd(companion_index Companion, task_ended End);
  /// Takes back all placements to a companion that were not written to its
  /// link.
  void takeBackUnwritten(companion_index Companion);
  /// Notes that \p Task has started although its end is not known yet.
  void noteRunning(companion_index Companion, const task_id &Task);
  /// Takes the crashes that a companion has seen, of tasks of any entry. A live
  /// job with a task that has crashed too many endpoints fails.
  void takeCrashes(companion_index Companion, const crash_report &Report);
  /// Notes that the ends of all tasks on a companion will never be known. With
  /// leases nothing of them runs any more.
  void loseAll(companion_index Companion, const std::string &Reason);

private:
  /// \returns the task if it is outstanding on \p Companion.
  std::optional<task_ref> findOutstanding(companion_index Companion,
                                          const task_id &Task);
  void takeOutput(companion_index Companion, const task_ref &Task,
                  task_completed &Completed);
  void takeFailure(companion_index Companion, const task_ref &Task,
                   const task_failed &Failed);
  void takeReturn(companion_index Companion, const task_ref &Task,
                  not_started_reason Reason);
  void takeLoss(companion_index Companion, const task_ref &Task,
                const std::string &Reason);
  void takeStop(companion_index Companion, const task_ref &Task,
                const task_stopped &Stopped);
  void noteSpeed(companion_index Companion, const work_class &Class,
                 duration RunTime);
  void takeBack(const task_ref &Task);
  /// \returns whether \p Job allows another run of a task that has ended.
  bool mayRepeat(const job &Job) const;
  /// Lets a task whose run has ended wait for another companion.
  void repeat(companion_index Companion, const task_ref &Task,
              const std::string &Reason, bool Fell = false);
  void learnRoundTrip(companion_index Companion, const task &Task,
                      duration RunTime);
  void release(const task_ref &Task, task_state Next);

  entry_state &State;
  job_manager &Jobs;
  health &Health;
};

} // namespace crocuswood::entry
