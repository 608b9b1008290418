#include "slot_policy.h"

namespace crocuswood::entry {

namespace {

// With at least this many tasks waiting, companions get a queue.
constexpr std::uint32_t LongBacklog = 8;
constexpr std::int32_t MaxQueuedPerCompanion = 4;
// Room counts as free if the estimate says so but for half a slot.
constexpr std::int32_t Tolerance = capacity_index::RoomPerSlot / 2;

} // namespace

companion_index slot_policy::choose(const placement_query &Query) {
  const auto Needed = static_cast<std::int32_t>(
      Query.Room * capacity_index::RoomPerSlot / SlotRoom);
  const std::int32_t Queued =
      Query.Waiting < LongBacklog
          ? 0
          : MaxQueuedPerCompanion * capacity_index::RoomPerSlot;
  const std::int32_t LeastRoom = Needed - Tolerance - Queued;
  return Query.Companions.getCapacity().findRoom(Query.Class, LeastRoom,
                                                 Query.MayTake);
}

} // namespace crocuswood::entry
