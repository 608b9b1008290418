/// \file
/// Tasks under which the endpoint has crashed.
#pragma once

#include "step.h"

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::companion {

/// Decides which tasks a crash counts for, and remembers them for entries that
/// link later. Bounded in number and age.
class crash_ledger {
public:
  /// Counts a crash of \p Endpoint for all tasks that ran on it, up to
  /// AloneCrashes. The second crash of a task that ran alone shows that it is
  /// at fault. \returns these tasks with their new numbers.
  crash_report count(const step &Step, const std::string &Endpoint,
                     const endpoint_crashed &Crash);
  /// \returns all tasks that are remembered.
  crash_report list(instant Now);

private:
  using key = std::pair<std::string, std::uint32_t>; ///< Run name and index.
  struct record {
    crashed_task Task;
    instant CountedAt; ///< The latest crash.
  };

  void remember(instant Now, const crashed_task &Task);
  void forgetOld(instant Now);

  std::map<key, record> Records;
};

} // namespace crocuswood::companion
