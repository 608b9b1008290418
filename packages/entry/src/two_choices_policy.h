/// \file
/// Baseline: the better of two by their last load.
#pragma once

#include "generator.h"
#include "placement_policy.h"

namespace crocuswood::entry {

/// Draws two companions and takes the one with the smaller load, as last heard.
class two_choices_policy : public placement_policy {
public:
  explicit two_choices_policy(std::uint64_t Seed) : Generator(Seed) {}
  companion_index choose(const placement_query &Query) override;

private:
  generator Generator;
};

} // namespace crocuswood::entry
