/// \file
/// Room of the running tasks by class.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuswood::companion {

/// Holds no more classes than there are running tasks.
class class_rooms {
public:
  void add(const std::string &Class, std::uint32_t Room);
  void remove(const std::string &Class, std::uint32_t Room);
  /// \returns the classes that use most, the greatest first and by name where
  /// they are equal, at most MaxClassRooms.
  std::vector<class_room> listGreatest() const;

private:
  std::map<std::string, std::uint32_t> Rooms;
};

} // namespace crocuswood::companion
