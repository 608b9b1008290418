/// \file
/// Classes and teams by small numbers.
#pragma once

#include "job.h"
#include "run_time_estimate.h"

#include <crocuswood/entry.h>

#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswood::entry {

/// A class as the entry knows it.
struct work_class {
  class_spec Spec;
  bool Configured = false;      ///< False once an operator has removed it.
  std::uint32_t LessUrgent = 0; ///< Priorities in use that go after its own.
  class_status Counters;
  run_time_estimate RunTimes;

  /// \returns the expected run time of a task.
  duration expect(std::optional<duration> Declared) const;
  /// \returns how long a run may last before another endpoint is likely to be
  /// faster, or nothing while too little is known. \p Stops counts the runs of
  /// the task that were stopped before; each one doubles the limit, since the
  /// task itself may be long. \p Slowness is that of the endpoint.
  std::optional<duration> getRunLimit(std::uint32_t Stops,
                                      double Slowness) const;
  /// \returns whether late answers lose their worth, so that late jobs may be
  /// given up for those on time.
  bool givesUpLate() const { return Spec.UsefulTargets > 0; }
  /// \returns the target: the fixed part and the one that the run time adds.
  duration getTarget() const;
};

/// Keeps classes by index. An index stays valid for the life of the table.
class class_table {
public:
  /// Takes the classes of a new configuration.
  void update(const configuration &Configuration);

  /// \returns the configured class called \p Name.
  std::optional<class_index> find(const std::string &Name) const;
  /// \returns the configured classes that endpoints of \p Pool run.
  const std::vector<class_index> &findPool(const std::string &Pool) const;

  work_class &operator[](class_index Index) { return Classes[Index]; }
  const work_class &operator[](class_index Index) const {
    return Classes[Index];
  }
  class_index getCount() const {
    return static_cast<class_index>(Classes.size());
  }

private:
  void rankPriorities();

  std::vector<work_class> Classes;
  std::unordered_map<std::string, class_index> Names;
  std::unordered_map<std::string, std::vector<class_index>> Pools;
};

} // namespace crocuswood::entry
