#include "class_rooms.h"

#include <algorithm>

namespace crocuswood::companion {

void class_rooms::add(const std::string &Class, std::uint32_t Room) {
  Rooms[Class] += Room;
}

void class_rooms::remove(const std::string &Class, std::uint32_t Room) {
  const auto Found = Rooms.find(Class);
  if (Found == Rooms.end()) {
    return;
  }
  Found->second -= std::min(Found->second, Room);
  if (Found->second == 0) {
    Rooms.erase(Found);
  }
}

std::vector<class_room> class_rooms::listGreatest() const {
  std::vector<class_room> List;
  List.reserve(Rooms.size());
  for (const auto &[Class, Room] : Rooms) {
    List.push_back({.Class = Class, .Room = Room});
  }
  // Stable, so that equal ones stay in the order of their names.
  std::stable_sort(List.begin(), List.end(),
                   [](const class_room &Left, const class_room &Right) {
                     return Left.Room > Right.Room;
                   });
  if (List.size() > MaxClassRooms) {
    List.resize(MaxClassRooms);
  }
  return List;
}

} // namespace crocuswood::companion
