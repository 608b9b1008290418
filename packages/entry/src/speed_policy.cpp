#include "speed_policy.h"

#include <algorithm>
#include <array>

namespace crocuswood::entry {

namespace {

// Endpoints that are compared, and draws to find them.
constexpr std::uint32_t Choices = 4;
constexpr std::uint32_t Draws = 12;
// With at least this many tasks waiting, companions get a queue.
constexpr std::uint32_t LongBacklog = 8;
// A queue that lasts this long keeps an endpoint busy until the entries have
// heard of the ends there. What waits longer is better kept at the entry, where
// it may still go to any endpoint.
constexpr duration QueueTime = std::chrono::milliseconds(20);
// Room counts as free if the estimate says so but for half a slot.
constexpr std::int32_t Tolerance = capacity_index::RoomPerSlot / 2;
// No queue is longer.
constexpr std::int32_t MaxQueueRoom = 8 * capacity_index::RoomPerSlot;
// One placement in this many ignores what is believed of interference, so that
// a wrong or outdated belief meets runs that correct it.
constexpr std::uint64_t ExplorationInterval = 64;
// A slowdown by 10% weighs as much as 40% of an endpoint's capacity.
constexpr double HarmWeight = 4;

std::int32_t neededRoom(const placement_query &Query) {
  return static_cast<std::int32_t>(Query.Room * capacity_index::RoomPerSlot /
                                   SlotRoom);
}

} // namespace

capability::candidate speed_policy::candidateOf(const placement_query &Query,
                                                companion_index Companion) {
  capability::candidate Candidate = Query.Companions.makeCandidate(Companion);
  Candidate.Wait = Query.Companions.expectWait(
      Companion, neededRoom(Query) - Tolerance, Query.Priority);
  return Candidate;
}

bool speed_policy::suits(const placement_query &Query,
                         const capability::candidate &Candidate) {
  const bool HasBacklog = Query.Waiting >= LongBacklog && !Query.MayWait;
  const duration MaxWait = HasBacklog ? QueueTime : duration::zero();
  return Candidate.Wait <= MaxWait &&
         (Query.AnySpeed || capability::isFastEnough(Query.Demand, Candidate));
}

double speed_policy::rateHarm(const placement_query &Query,
                              companion_index Companion) {
  const companion_record &Record = Query.Companions[Companion];
  Record.Beside.getShares(capacityOf(Record.Endpoint), Beside);
  return HarmWeight * Query.Harms->getHarm(Query.Class, Beside);
}

companion_index speed_policy::drawBest(const placement_query &Query) {
  const capacity_index &Capacity = Query.Companions.getCapacity();
  companion_index Best = NoCompanion;
  double BestRating = 0;
  std::uint32_t Compared = 0;
  const bool AvoidsHarm =
      Query.Harms != nullptr && Generator.below(ExplorationInterval) > 0;
  for (std::uint32_t Draw = 0; Draw < Draws && Compared < Choices; ++Draw) {
    const companion_index Drawn =
        Capacity.sample(Query.Class, Generator.next());
    if (Drawn == NoCompanion) {
      return NoCompanion;
    }
    const capability::candidate Candidate = candidateOf(Query, Drawn);
    if (Drawn == Best || !suits(Query, Candidate) || !Query.MayTake(Drawn)) {
      continue;
    }
    ++Compared;
    const double Rating = capability::rate(Query.Demand, Candidate) -
                          (AvoidsHarm ? rateHarm(Query, Drawn) : 0);
    if (Best == NoCompanion || Rating > BestRating) {
      Best = Drawn;
      BestRating = Rating;
    }
  }
  return Best;
}

companion_index speed_policy::choose(const placement_query &Query) {
  const capacity_index &Capacity = Query.Companions.getCapacity();
  // Probes of endpoints that were set aside have all the room.
  const companion_index Probe =
      Capacity.findRoom(Query.Class, capacity_index::MaxRoom, Query.MayTake);
  if (Probe != NoCompanion) {
    return Probe;
  }
  const companion_index Drawn = drawBest(Query);
  if (Drawn != NoCompanion) {
    return Drawn;
  }
  const std::function<bool(companion_index)> MayTake =
      [&Query](companion_index Companion) {
        return suits(Query, candidateOf(Query, Companion)) &&
               Query.MayTake(Companion);
      };
  const std::int32_t LeastRoom =
      Query.Waiting >= LongBacklog && !Query.MayWait
          ? neededRoom(Query) - Tolerance - MaxQueueRoom
          : neededRoom(Query) - Tolerance;
  return Capacity.findRoom(Query.Class, LeastRoom, MayTake);
}

} // namespace crocuswood::entry
