/// \file
/// Places waiting tasks on companions.
#pragma once

#include "entry_state.h"
#include "health.h"
#include "placement_policy.h"

#include <memory>
#include <optional>
#include <tuple>
#include <vector>

namespace crocuswood::entry {

/// Takes the most urgent tasks and places them while the policy finds room.
class dispatcher {
public:
  dispatcher(entry_state &State, health &Health);

  /// Places what can be placed now.
  void run();
  /// \returns when tasks held back by a quota may go on.
  std::optional<instant> getNextTime() const;

private:
  /// A job chosen to be placed next.
  struct choice {
    job *Job = nullptr;
    instant Due;
    std::uint32_t Priority = 0;

    bool isBefore(const choice &Other) const {
      return std::tie(Priority, Due) < std::tie(Other.Priority, Other.Due);
    }
  };

  void admitReadyTeams();
  /// Brings back the jobs that fit a companion again.
  void admitFitting();
  void runRetries();
  bool placeRetry(const task_ref &Task);
  std::optional<choice> chooseOnTime() const;
  std::optional<choice> chooseLate() const;
  /// \returns false if no companion has room for the class of \p Choice.
  bool placeNext(const choice &Choice);
  /// Takes a job out of the queue that would hold back its class for good.
  /// \returns whether it did.
  bool setAsideOversized(job &Job);
  /// \returns whether \p Job is on time if a task of it starts now on an
  /// endpoint of usual speed.
  bool mayMeetTarget(const job &Job, const work_class &Class) const;
  /// \returns the priority of the tasks of \p Job on companions.
  std::uint32_t priorityOf(const job &Job) const;
  companion_index findCompanion(const task_ref &Task);
  /// \returns whether an endpoint has crashed under \p Task. The next crash
  /// must tell which of several suspects it counts for, so a companion gets one
  /// at a time.
  bool isSuspect(const task_ref &Task) const;
  /// \returns whether the task must wait for news of the endpoints that fell
  /// silent with it, since it may have crashed too many.
  bool awaitsCrashes(const task_ref &Task) const;
  void place(const task_ref &Task, companion_index Companion, instant Due);

  entry_state &State;
  health &Health;
  std::unique_ptr<placement_policy> Policy;
  std::uint64_t SeenOffers = 0; ///< When admitFitting() last had to look.
  std::vector<bool> Blocked;    ///< Classes without room in the current run.
  std::vector<bool> BlockedSuspects; ///< The same for suspects alone.
};

} // namespace crocuswood::entry
