#include "slot_policy.h"

namespace crocuswood::entry {

namespace {

// With at least this many tasks waiting, companions get a queue.
constexpr std::uint32_t LongBacklog = 8;
constexpr std::int32_t MaxQueuedPerCompanion = 4;
// A slot counts as free if the estimate says so by more than half.
constexpr std::int32_t FreeSlot = capacity_index::RoomPerSlot / 2;

} // namespace

companion_index slot_policy::choose(const placement_query &Query) {
  const std::int32_t LeastRoom =
      Query.Waiting < LongBacklog
          ? FreeSlot
          : FreeSlot - MaxQueuedPerCompanion * capacity_index::RoomPerSlot;
  return Query.Companions.getCapacity().findRoom(Query.Class, LeastRoom,
                                                 Query.MayTake);
}

} // namespace crocuswood::entry
