#include "round_robin_policy.h"

namespace crocuswood::entry {

companion_index round_robin_policy::choose(const placement_query &Query) {
  const std::vector<companion_index> Found = candidates(Query);
  if (Found.empty()) {
    return NoCompanion;
  }
  return Found[Turn++ % Found.size()];
}

} // namespace crocuswood::entry
