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
  /// Counts a crash with \p Tasks on the endpoint. If endpoints have crashed
  /// under some of them before, it counts for those with the most crashes only:
  /// the others would be given up for their neighbour. \returns the tasks that
  /// it counts for, with their new numbers.
  crash_report count(const step &Step, const std::string &Endpoint,
                     std::vector<crashed_task> Tasks);
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
