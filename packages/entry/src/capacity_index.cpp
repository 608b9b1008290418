#include "capacity_index.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

constexpr std::size_t RoomValues =
    capacity_index::MaxRoom - capacity_index::MinRoom + 1;

std::int32_t clampRoom(std::int32_t Room) {
  return std::clamp(Room, capacity_index::MinRoom, capacity_index::MaxRoom);
}

} // namespace

capacity_index::bucket &capacity_index::bucketAt(pool &Pool,
                                                 std::int32_t Room) {
  return Pool.Buckets[static_cast<std::size_t>(Room - MinRoom)];
}

const capacity_index::bucket &capacity_index::bucketAt(const pool &Pool,
                                                       std::int32_t Room) {
  return Pool.Buckets[static_cast<std::size_t>(Room - MinRoom)];
}

std::uint32_t capacity_index::poolFor(const std::vector<class_index> &Classes) {
  const auto Next = static_cast<std::uint32_t>(Pools.size());
  const auto [Place, Added] = PoolsByClasses.try_emplace(Classes, Next);
  if (!Added) {
    return Place->second;
  }
  pool &Pool = Pools.emplace_back();
  Pool.Classes = Classes;
  Pool.Buckets.resize(RoomValues);
  for (const class_index Class : Classes) {
    if (Class >= PoolsOfClass.size()) {
      PoolsOfClass.resize(Class + 1);
    }
    PoolsOfClass[Class].push_back(Next);
  }
  return Next;
}

void capacity_index::enter(companion_index Companion, std::int32_t Room) {
  place &Place = Places[Companion];
  pool &Pool = Pools[Place.Pool];
  Place.Room = Room;
  auto &Members = bucketAt(Pool, Room)[Place.Local ? 0 : 1];
  Place.Position = static_cast<std::uint32_t>(Members.size());
  Members.push_back(Companion);
  Pool.Highest = std::max(Pool.Highest, Room);
}

void capacity_index::leave(companion_index Companion) {
  const place &Place = Places[Companion];
  pool &Pool = Pools[Place.Pool];
  auto &Members = bucketAt(Pool, Place.Room)[Place.Local ? 0 : 1];
  Members[Place.Position] = Members.back();
  Places[Members[Place.Position]].Position = Place.Position;
  Members.pop_back();
  while (Pool.Highest > MinRoom && bucketAt(Pool, Pool.Highest)[0].empty() &&
         bucketAt(Pool, Pool.Highest)[1].empty()) {
    --Pool.Highest;
  }
}

void capacity_index::set(companion_index Companion,
                         const std::vector<class_index> &Classes, bool Local,
                         std::int32_t Room) {
  remove(Companion);
  if (Companion >= Places.size()) {
    Places.resize(Companion + 1);
  }
  place &Place = Places[Companion];
  Place = {.Pool = poolFor(Classes), .Local = Local, .Present = true};
  auto &Members = Pools[Place.Pool].Members;
  Place.MemberPosition = static_cast<std::uint32_t>(Members.size());
  Members.push_back(Companion);
  enter(Companion, clampRoom(Room));
}

void capacity_index::setRoom(companion_index Companion, std::int32_t Room) {
  const std::int32_t Clamped = clampRoom(Room);
  if (Companion >= Places.size() || !Places[Companion].Present ||
      Places[Companion].Room == Clamped) {
    return;
  }
  leave(Companion);
  enter(Companion, Clamped);
}

void capacity_index::remove(companion_index Companion) {
  if (Companion >= Places.size() || !Places[Companion].Present) {
    return;
  }
  leave(Companion);
  place &Place = Places[Companion];
  auto &Members = Pools[Place.Pool].Members;
  Members[Place.MemberPosition] = Members.back();
  Places[Members[Place.MemberPosition]].MemberPosition = Place.MemberPosition;
  Members.pop_back();
  Place.Present = false;
}

companion_index capacity_index::findInBucket(
    const bucket &Bucket,
    const std::function<bool(companion_index)> &MayTake) const {
  for (const auto &Members : Bucket) {
    for (std::size_t Step = 0; Step < Members.size(); ++Step) {
      const companion_index Candidate = Members[(Turn + Step) % Members.size()];
      if (MayTake(Candidate)) {
        ++Turn;
        return Candidate;
      }
    }
  }
  return NoCompanion;
}

companion_index capacity_index::findRoom(
    class_index Class, std::int32_t LeastRoom,
    const std::function<bool(companion_index)> &MayTake) const {
  if (Class >= PoolsOfClass.size()) {
    return NoCompanion;
  }
  std::int32_t Least = std::max(LeastRoom, MinRoom);
  companion_index Best = NoCompanion;
  for (const std::uint32_t Index : PoolsOfClass[Class]) {
    const pool &Pool = Pools[Index];
    for (std::int32_t Room = Pool.Highest; Room >= Least; --Room) {
      const companion_index Found = findInBucket(bucketAt(Pool, Room), MayTake);
      if (Found != NoCompanion) {
        Best = Found;
        Least = Room + 1;
        break;
      }
    }
  }
  return Best;
}

companion_index capacity_index::sample(class_index Class,
                                       std::uint64_t Draw) const {
  if (Class >= PoolsOfClass.size()) {
    return NoCompanion;
  }
  std::size_t Count = 0;
  for (const std::uint32_t Index : PoolsOfClass[Class]) {
    Count += Pools[Index].Members.size();
  }
  if (Count == 0) {
    return NoCompanion;
  }
  std::size_t Left = Draw % Count;
  for (const std::uint32_t Index : PoolsOfClass[Class]) {
    const auto &Members = Pools[Index].Members;
    if (Left < Members.size()) {
      return Members[Left];
    }
    Left -= Members.size();
  }
  return NoCompanion;
}

void capacity_index::forEach(
    class_index Class,
    const std::function<void(companion_index)> &Visit) const {
  if (Class >= PoolsOfClass.size()) {
    return;
  }
  for (const std::uint32_t Index : PoolsOfClass[Class]) {
    for (const bucket &Bucket : Pools[Index].Buckets) {
      for (const auto &Members : Bucket) {
        std::for_each(Members.begin(), Members.end(), Visit);
      }
    }
  }
}

bool capacity_index::canRun(class_index Class) const {
  if (Class >= PoolsOfClass.size()) {
    return false;
  }
  return std::any_of(
      PoolsOfClass[Class].begin(), PoolsOfClass[Class].end(),
      [this](std::uint32_t Index) { return !Pools[Index].Members.empty(); });
}

} // namespace crocuswood::entry
