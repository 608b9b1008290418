/// \file
/// Tasks from their placement to their end.
#pragma once

#include "class_rooms.h"
#include "endpoint_monitor.h"
#include "entry_links.h"
#include "entry_registry.h"
#include "step.h"
#include "task_queue.h"

#include <crocuswood/capability.h>
#include <crocuswood/companion.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

namespace crocuswood::companion {

/// What the desk knows of a run at its end.
struct ended_run {
  duration RunTime{};
  duration ExpectedRunTime{};
  bool Overdue = false; ///< It was stopped since it lasted too long.
};

/// Queues placed tasks, starts them when slots are free and reports their ends.
class task_desk {
public:
  task_desk(const options &Options, const configuration &Configuration,
            entry_registry &Entries, entry_links &Links,
            const endpoint_monitor &Endpoint);

  void place(const step &Step, entry_peer &Peer, place_task Placement);
  void withdraw(const step &Step, entry_peer &Peer,
                const withdraw_tasks &Message);
  void acknowledge(entry_peer &Peer, const acknowledge_ends &Message);
  void resume(const step &Step, entry_peer &Peer,
              const resume_request &Message);
  /// Sends the retained ends of \p Peer again.
  void resendEnds(entry_peer &Peer);
  /// Frees the slot of a running task. A task that is not running is ignored.
  /// \p MakeEnd gets the ended run. \p Detail says why it was refused.
  template <class Maker>
  void endRun(const step &Step, const task_id &Task, Maker MakeEnd,
              const std::string &Detail = {}) {
    const auto Run = takeRunning(Step, Task);
    if (Run) {
      task_end End = MakeEnd(*Run);
      if (std::holds_alternative<task_completed>(End)) {
        Speed.note(Run->RunTime, Run->ExpectedRunTime);
      }
      finish(Step, Task, std::move(End), Run->RunTime, Detail);
    }
  }

  /// Starts queued tasks while slots are free, and gives back those whose
  /// deadline has passed.
  void startTasks(const step &Step);
  void giveBackExpired(const step &Step);
  /// Gives all queued tasks back.
  void giveBackQueued(const step &Step, not_started_reason Reason);
  /// Counts the room of what runs anew if the endpoint has begun to count
  /// processor instead of slots, or the reverse.
  void recountRuns();
  /// The endpoint has been replaced or restarted.
  void forgetSpeed() { Speed.reset(); }
  /// Gives back queued tasks that the endpoint can't run any more, even alone.
  void giveBackUnsupported(const step &Step);
  /// Stops everything of an entry whose lease has ended, and gives back what
  /// has been queued for longer than a lease. The rest waits for a new one.
  void endLease(const step &Step, const entry_peer &Peer);
  /// \returns whether tasks of \p Entry are queued or run.
  bool hasTasks(incarnation Entry) const;
  /// \returns when endLease() has something to do.
  std::optional<instant> getLeaseWake(const entry_peer &Peer,
                                      instant Now) const;
  /// Stops runs that have lasted longer than their placements allow.
  void stopOverdue(const step &Step);
  /// Drops the queued tasks and the ends of an entry that is gone.
  void dropEntry(const step &Step, entry_peer &Peer);

  bool hasFreeSlot() const;
  /// \returns whether tasks of \p Entry wait to be started.
  bool hasQueued(incarnation Entry) const {
    return !Queue.listTasks(Entry).empty();
  }
  bool isIdle() const { return Running.empty() && Queue.getSize() == 0; }
  std::uint64_t getStarted() const { return Started; }
  /// \returns when a queued task expires or a run becomes overdue.
  std::optional<instant> getNextWake() const;
  /// \returns the load now; its sequence grows when it has changed.
  companion_load refreshLoad();
  const companion_load &getLoad() const { return Load; }
  /// \returns how many tasks of \p Entry are queued and running.
  std::pair<std::uint32_t, std::uint32_t> countTasks(incarnation Entry) const;

private:
  struct running_task {
    instant StartedAt;
    peer_address Endpoint;
    task_needs Needs; ///< With the class's needs filled in.
    std::uint32_t Room = 0;
    duration ExpectedRunTime{};
    std::optional<instant> OverdueAt;
    bool Overdue = false; ///< It is stopped for that reason.
    bool StopAsked = false;
    bool Alone = false; ///< Nothing else may run beside it.
    std::string Class;  ///< Empty unless loads have rooms by class.
  };

  /// \returns whether \p Task would have to wait although its entry has other
  /// places for it.
  bool isTooFullFor(const place_task &Task) const;
  std::optional<ended_run> takeRunning(const step &Step, const task_id &Task);
  std::optional<not_started_reason> findRefusal(const place_task &Task) const;
  /// \returns whether the endpoint could run \p Task while it runs nothing.
  bool isSupported(const place_task &Task) const;
  void answerDuplicate(const step &Step, entry_peer &Peer, const task_id &Task,
                       task_memory Memory);
  void resumeTask(const step &Step, entry_peer &Peer, const task_id &Task,
                  resume_reply &Reply);
  void dropUnnamed(const step &Step, entry_peer &Peer,
                   const resume_request &Message);
  void start(const step &Step, queued_task Task);
  void askToStop(const step &Step, const task_id &Task);
  bool hasResourcesFor(const place_task &Placement) const;
  /// \returns whether nothing has to run alone, \p Placement or a running task.
  bool mayRunBeside(const place_task &Placement) const;
  /// \returns what the task needs, with the class's needs filled in.
  task_needs needsOf(const place_task &Placement) const;
  const class_spec *findClass(const std::string &Name) const;
  /// \returns whether \p Entry vouches for its tasks now.
  bool isVouchedFor(incarnation Entry, instant Now) const;
  void refuse(const step &Step, const task_id &Task, not_started_reason Reason);
  /// Records, keeps and sends an end.
  void finish(const step &Step, const task_id &Task, task_end End,
              duration RunTime = {}, const std::string &Detail = {});
  void send(const entry_peer &Peer, peer_message Message);

  const options &Options;
  const configuration &Configuration;
  entry_registry &Entries;
  entry_links &Links;
  const endpoint_monitor &Endpoint;
  task_queue Queue;
  std::unordered_map<task_id, running_task> Running;
  std::set<std::pair<instant, task_id>> Overdue; ///< Runs with a limit.
  std::uint64_t UsedMemoryBytes = 0;
  std::uint32_t UsedAccelerators = 0;
  std::uint32_t UsedRoom = 0;
  class_rooms ClassRooms;      ///< Empty unless loads have them.
  std::uint32_t AloneRuns = 0; ///< Running tasks that must be alone; 1 at most.
  bool CountsProcessor = false; ///< What UsedRoom counts, or else slots.
  std::uint64_t Started = 0;
  capability::speed_estimate Speed;
  companion_load Load;
};

} // namespace crocuswood::companion
