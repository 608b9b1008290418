/// \file
/// Baseline: any companion.
#pragma once

#include "generator.h"
#include "placement_policy.h"

namespace crocuswood::entry {

/// Places each task on any companion that can run it.
class random_policy : public placement_policy {
public:
  explicit random_policy(std::uint64_t Seed) : Generator(Seed) {}
  companion_index choose(const placement_query &Query) override;

private:
  generator Generator;
};

} // namespace crocuswood::entry
