#include "placement_policy.h"

#include "least_outstanding_policy.h"
#include "random_policy.h"
#include "round_robin_policy.h"
#include "slot_policy.h"
#include "speed_policy.h"
#include "two_choices_policy.h"

#include <algorithm>

namespace crocuswood::entry {

std::vector<companion_index>
placement_policy::candidates(const placement_query &Query) {
  std::vector<companion_index> Found;
  Query.Companions.getCapacity().forEach(Query.Class,
                                         [&](companion_index Index) {
                                           if (Query.MayTake(Index)) {
                                             Found.push_back(Index);
                                           }
                                         });
  std::sort(Found.begin(), Found.end());
  return Found;
}

std::unique_ptr<placement_policy>
makePolicy(policy_kind Kind, std::uint64_t Seed, bool ComparesEndpoints) {
  switch (Kind) {
  case policy_kind::Random:
    return std::make_unique<random_policy>(Seed);
  case policy_kind::RoundRobin:
    return std::make_unique<round_robin_policy>();
  case policy_kind::LeastOutstanding:
    return std::make_unique<least_outstanding_policy>();
  case policy_kind::TwoChoices:
    return std::make_unique<two_choices_policy>(Seed);
  case policy_kind::Crocuswood:
    break;
  }
  if (ComparesEndpoints) {
    return std::make_unique<speed_policy>(Seed);
  }
  return std::make_unique<slot_policy>();
}

} // namespace crocuswood::entry
