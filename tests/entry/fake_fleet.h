/// \file
/// Companions with endpoints that run tasks in virtual time.
#pragma once

#include "entry_harness.h"

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

namespace crocuswood::entry {

/// Companions on links 1 to N of one harness. Messages take a millisecond.
class fake_fleet {
public:
  /// How long a task of a class runs on a companion, and whether it fails.
  struct run {
    duration RunTime = std::chrono::milliseconds(100);
    bool Fails = false;
  };
  using run_function =
      std::function<run(std::size_t Companion, const std::string &Class)>;

  fake_fleet(entry_harness &Entry, std::size_t Companions, std::uint32_t Slots,
             run_function Run);

  /// Runs everything until \p Span has passed.
  void pass(duration Span);
  /// \returns tasks that a companion has started.
  std::uint32_t getStarted(std::size_t Companion) const {
    return Members[Companion].Started;
  }
  /// Live entries that the companions tell.
  void setEntries(std::uint32_t Count) { Entries = Count; }
  /// \returns times of all starts, in order.
  const std::vector<instant> &getStarts() const { return Starts; }

private:
  struct member {
    std::uint32_t Started = 0;
    std::uint32_t Running = 0;
    std::multimap<std::uint32_t, place_task> Queue; ///< By priority.
    std::map<std::uint32_t, duration> Work;         ///< Of the queue.
    std::uint64_t Sequence = 0;
  };
  struct ending {
    std::size_t Companion = 0;
    task_id Task;
    run Run;
    bool Overdue = false; ///< Stopped at the limit of its placement.
  };

  void step();
  void takePlacements();
  void startTasks(std::size_t Companion);
  void endTasks();
  void sendHeartbeats();
  companion_load loadOf(std::size_t Companion);

  entry_harness &Entry;
  std::uint32_t Slots;
  run_function Run;
  std::uint32_t Entries = 1;
  std::vector<member> Members;
  std::multimap<instant, ending> Endings;
  std::vector<instant> Starts;
  instant NextHeartbeat;
};

} // namespace crocuswood::entry
