/// \file
/// Baseline: the fewest own tasks.
#pragma once

#include "placement_policy.h"

namespace crocuswood::entry {

/// Places each task where this entry has the fewest tasks.
class least_outstanding_policy : public placement_policy {
public:
  companion_index choose(const placement_query &Query) override;
};

} // namespace crocuswood::entry
