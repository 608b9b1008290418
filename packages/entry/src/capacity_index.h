/// \file
/// Finds a companion with room for a task of a class without a scan.
#pragma once

#include "job.h"

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace crocuswood::entry {

/// Keeps companions in pools, one for each set of classes that they can run,
/// and within a pool by their room: free slots less queued tasks.
class capacity_index {
public:
  /// Room is counted in parts of a slot, within these bounds.
  static constexpr std::int32_t RoomPerSlot = 4;
  static constexpr std::int32_t MinRoom = -64;
  static constexpr std::int32_t MaxRoom = 512;

  /// Adds \p Companion, or changes what is known of it. \p Classes is sorted.
  void set(companion_index Companion, const std::vector<class_index> &Classes,
           bool Local, std::int32_t Room);
  /// Changes the room of a companion that was added.
  void setRoom(companion_index Companion, std::int32_t Room);
  void remove(companion_index Companion);

  /// \returns the companion with the most room, at least \p LeastRoom, for
  /// which \p MayTake holds, or NoCompanion. Companions of the own zone go
  /// first among those with equal room; the others take turns.
  companion_index
  findRoom(class_index Class, std::int32_t LeastRoom,
           const std::function<bool(companion_index)> &MayTake) const;

  /// \returns a companion that can run \p Class, chosen by \p Draw among all of
  /// them alike, or NoCompanion.
  companion_index sample(class_index Class, std::uint64_t Draw) const;
  /// \returns the room of a companion that was added.
  std::int32_t getRoom(companion_index Companion) const {
    return Places[Companion].Room;
  }

  /// Calls \p Visit for every companion that can run \p Class.
  void forEach(class_index Class,
               const std::function<void(companion_index)> &Visit) const;
  /// \returns whether any companion can run \p Class.
  bool canRun(class_index Class) const;

private:
  using bucket = std::array<std::vector<companion_index>, 2>;

  struct pool {
    std::vector<class_index> Classes;
    std::vector<bucket> Buckets;
    std::int32_t Highest = MinRoom;       ///< No bucket above it has members.
    std::vector<companion_index> Members; ///< In no order.
  };
  struct place {
    std::uint32_t Pool = 0;
    std::int32_t Room = MinRoom;
    std::uint32_t Position = 0;
    std::uint32_t MemberPosition = 0; ///< In pool::Members.
    bool Local = false;
    bool Present = false;
  };

  static bucket &bucketAt(pool &Pool, std::int32_t Room);
  static const bucket &bucketAt(const pool &Pool, std::int32_t Room);
  std::uint32_t poolFor(const std::vector<class_index> &Classes);
  void enter(companion_index Companion, std::int32_t Room);
  void leave(companion_index Companion);
  companion_index
  findInBucket(const bucket &Bucket,
               const std::function<bool(companion_index)> &MayTake) const;

  std::vector<pool> Pools;
  std::map<std::vector<class_index>, std::uint32_t> PoolsByClasses;
  std::vector<std::vector<std::uint32_t>> PoolsOfClass;
  std::vector<place> Places;
  mutable std::uint32_t Turn = 0;
};

} // namespace crocuswood::entry
