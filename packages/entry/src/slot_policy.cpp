#include "slot_policy.h"

namespace crocuswood::entry {

namespace {

// With at least this many tasks waiting, companions queue QueuedPerCompanion.
constexpr std::uint32_t LongBacklog = 32;
constexpr std::int32_t QueuedPerCompanion = 1;

} // namespace

companion_index slot_policy::choose(const placement_query &Query) {
  const std::int32_t LeastRoom =
      Query.Waiting >= LongBacklog ? 1 - QueuedPerCompanion : 1;
  return Query.Companions.getCapacity().findRoom(Query.Class, LeastRoom,
                                                 Query.MayTake);
}

} // namespace crocuswood::entry
