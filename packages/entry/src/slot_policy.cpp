#include "slot_policy.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

// With at least this many tasks waiting, companions get a queue.
constexpr std::uint32_t LongBacklog = 8;
constexpr std::uint32_t MaxQueuedPerCompanion = 4; // Slots of each priority.
constexpr std::uint32_t MaxDepth = 3;              // In queues of one priority.
// Room counts as free if the estimate says so but for half a slot.
constexpr std::int32_t Tolerance = capacity_index::RoomPerSlot / 2;

// Companions start urgent tasks first, so the queue of the less urgent ones
// does not delay them and must not keep them from being placed. Late tasks take
// free room only: queued, they would hold up tasks that can meet their targets.
std::int32_t queueFor(const placement_query &Query) {
  if (Query.Waiting < LongBacklog || Query.MayWait) {
    return 0;
  }
  const std::uint32_t Depth = std::min(Query.LessUrgent + 1, MaxDepth);
  return static_cast<std::int32_t>(MaxQueuedPerCompanion * Depth) *
         capacity_index::RoomPerSlot;
}

} // namespace

companion_index slot_policy::choose(const placement_query &Query) {
  const auto Needed = static_cast<std::int32_t>(
      Query.Room * capacity_index::RoomPerSlot / SlotRoom);
  const std::int32_t LeastRoom = Needed - Tolerance - queueFor(Query);
  return Query.Companions.getCapacity().findRoom(Query.Class, LeastRoom,
                                                 Query.MayTake);
}

} // namespace crocuswood::entry
