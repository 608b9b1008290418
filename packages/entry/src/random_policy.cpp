#include "random_policy.h"

namespace crocuswood::entry {

companion_index random_policy::choose(const placement_query &Query) {
  const std::vector<companion_index> Found = candidates(Query);
  if (Found.empty()) {
    return NoCompanion;
  }
  return Found[Generator.below(Found.size())];
}

} // namespace crocuswood::entry
