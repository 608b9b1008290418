/// \file
/// Chooses the companion of a task.
#pragma once

#include "companion_table.h"
#include "job.h"

#include <crocuswood/entry.h>
#include <crocuswood/interference.h>

#include <functional>
#include <memory>
#include <vector>

namespace crocuswood::entry {

/// What a policy may look at to place one task.
struct placement_query {
  class_index Class = 0;
  std::uint32_t Room = 0;       ///< That the task takes.
  std::uint32_t Waiting = 0;    ///< Tasks that wait at the entry.
  std::uint32_t LessUrgent = 0; ///< Priorities that go after the task.
  std::uint32_t Priority = 0;   ///< The smallest goes first.
  capability::demand Demand;
  bool AnySpeed = true; ///< Waiting for a faster endpoint can't help.
  bool MayWait = false; ///< Its answer is late and worth little; it may give
                        ///< way to every task that is on time.
  /// Null unless some classes are believed to slow each other down.
  const interference::model *Harms = nullptr;
  const companion_table &Companions;
  /// Whether a companion may be given this very task.
  const std::function<bool(companion_index)> &MayTake;
};

/// Chooses a companion for a task, or leaves the task at the entry.
class placement_policy {
public:
  virtual ~placement_policy() = default;
  /// \returns NoCompanion if the task should wait.
  virtual companion_index choose(const placement_query &Query) = 0;

protected:
  /// \returns the companions that may take the task, in a stable order.
  static std::vector<companion_index> candidates(const placement_query &Query);
};

/// \returns the policy called \p Kind. \p Seed feeds those that draw lots.
std::unique_ptr<placement_policy>
makePolicy(policy_kind Kind, std::uint64_t Seed, bool ComparesEndpoints);

} // namespace crocuswood::entry
