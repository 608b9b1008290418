/// \file
/// Tasks under which endpoints have crashed.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace crocuswood::entry {

/// A task of a job and the crashes under it.
struct task_crashes {
  std::uint32_t Index = 0; ///< Within its job.
  std::uint32_t Crashes = 0;

  friend bool operator==(const task_crashes &, const task_crashes &) = default;
};

/// Keeps the greatest number of crashes that any companion has reported for a
/// task, by the names that tasks have towards endpoints. The numbers outlive
/// the jobs, so that a resubmission doesn't start from zero. Repeated reports
/// change nothing.
class crash_memory {
public:
  /// Beyond this number, the tasks that crashed least recently are forgotten.
  static constexpr std::size_t MaxTasks = 16'384;
  /// Callers send a job again within seconds, and no longer after its deadline.
  static constexpr duration MaxAge = std::chrono::minutes(10);

  /// Takes what the companion \p Reporter tells. It may not have known of other
  /// crashes, so there were at least as many as companions that tell of one;
  /// these alone don't give a task up.
  /// \returns whether \p Task has crashed more endpoints than was known.
  bool note(const std::string &RunName, const task_crashes &Task,
            const std::string &Reporter, instant Now);
  /// \returns the crashes under a task; 0 for an unknown one.
  std::uint32_t getCrashes(const std::string &RunName,
                           std::uint32_t Index) const;
  /// \returns a task of the job that must not be started again.
  std::optional<task_crashes> findFatal(const std::string &RunName) const;
  /// Forgets what has become too old.
  void checkTimes(instant Now);
  std::size_t getCount() const { return Ages.size(); }

private:
  struct age {
    std::string RunName;
    std::uint32_t Index = 0;
    instant RaisedAt;
  };
  struct record {
    std::uint32_t Crashes = 0;
    std::set<std::uint64_t> Reporters; ///< Digests of their names.
    std::list<age>::iterator Age;
  };

  void forgetOldest();

  std::map<std::string, std::map<std::uint32_t, record>> Jobs;
  std::list<age> Ages; ///< The oldest first.
};

} // namespace crocuswood::entry
