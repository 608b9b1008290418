#include "least_outstanding_policy.h"

#include <algorithm>

namespace crocuswood::entry {

companion_index least_outstanding_policy::choose(const placement_query &Query) {
  const std::vector<companion_index> Found = candidates(Query);
  const auto HasFewer = [&Query](companion_index Left, companion_index Right) {
    return Query.Companions[Left].Outstanding.size() <
           Query.Companions[Right].Outstanding.size();
  };
  const auto Best = std::min_element(Found.begin(), Found.end(), HasFewer);
  return Best == Found.end() ? NoCompanion : *Best;
}

} // namespace crocuswood::entry
