#include "two_choices_policy.h"

namespace crocuswood::entry {

companion_index two_choices_policy::choose(const placement_query &Query) {
  const std::vector<companion_index> Found = candidates(Query);
  if (Found.empty()) {
    return NoCompanion;
  }
  const companion_index First = Found[Generator.below(Found.size())];
  const companion_index Second = Found[Generator.below(Found.size())];
  const companion_load &FirstLoad = Query.Companions[First].Load;
  const companion_load &SecondLoad = Query.Companions[Second].Load;
  const bool FirstIsBetter = FirstLoad.Running + FirstLoad.Queued <=
                             SecondLoad.Running + SecondLoad.Queued;
  return FirstIsBetter ? First : Second;
}

} // namespace crocuswood::entry
