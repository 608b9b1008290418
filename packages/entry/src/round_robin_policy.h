/// \file
/// Baseline: one companion after another.
#pragma once

#include "placement_policy.h"

namespace crocuswood::entry {

/// Places tasks on one companion after another.
class round_robin_policy : public placement_policy {
public:
  companion_index choose(const placement_query &Query) override;

private:
  std::uint64_t Turn = 0;
};

} // namespace crocuswood::entry
