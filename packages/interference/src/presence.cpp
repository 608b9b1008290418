#include <crocuswood/interference.h>

#include <algorithm>

namespace crocuswood::interference {

void slowdown_histogram::add(double Slowdown) {
  const auto *Bound = std::lower_bound(Bounds.begin(), Bounds.end(), Slowdown);
  ++Counts[static_cast<std::size_t>(Bound - Bounds.begin())];
  Sum += Slowdown;
}

void presence::advance(instant Now) {
  const auto Span = static_cast<double>((Now - At).count());
  for (part &Part : Parts) {
    Part.RoomTime += static_cast<double>(Part.getRoom()) * std::max(0.0, Span);
  }
  At = Now;
}

presence::part *presence::findPart(class_number Class) {
  auto Found = std::find_if(Parts.begin(), Parts.end(), [&](const part &Part) {
    return Part.Class == Class;
  });
  if (Found != Parts.end()) {
    return &*Found;
  }
  if (Parts.size() < MaxNeighbours) {
    return &Parts.emplace_back(part{.Class = Class});
  }
  Found = std::find_if(Parts.begin(), Parts.end(),
                       [](const part &Part) { return Part.getRoom() == 0; });
  if (Found == Parts.end()) {
    // More classes at once than are kept: this one is not seen.
    return nullptr;
  }
  *Found = {.Class = Class};
  return &*Found;
}

presence::mark presence::add(class_number Class, std::uint32_t Room,
                             instant Now) {
  advance(Now);
  mark Mark;
  Mark.reserve(Parts.size());
  for (const part &Part : Parts) {
    Mark.emplace_back(Part.Class, Part.RoomTime);
  }
  if (part *Part = findPart(Class)) {
    Part->Room += Room;
  }
  return Mark;
}

void presence::takeTold(const std::vector<told_room> &Told, instant Now) {
  advance(Now);
  for (part &Part : Parts) {
    Part.Told = 0;
  }
  const std::size_t Count = std::min(Told.size(), MaxNeighbours);
  for (std::size_t Each = 0; Each < Count; ++Each) {
    if (part *Part = findPart(Told[Each].Class)) {
      Part->Told = Told[Each].Room;
    }
  }
}

void presence::remove(class_number Class, std::uint32_t Room, instant Now) {
  advance(Now);
  for (part &Part : Parts) {
    if (Part.Class == Class) {
      Part.Room -= std::min<std::uint64_t>(Part.Room, Room);
    }
  }
}

std::vector<neighbour> presence::getMean(class_number Class, std::uint32_t Room,
                                         const mark &Mark, instant Since,
                                         instant Now,
                                         std::uint64_t Capacity) const {
  std::vector<neighbour> Mean;
  const auto Span = static_cast<double>((Now - Since).count());
  if (Span <= 0 || Capacity == 0) {
    return Mean;
  }
  const double SinceAdvance = static_cast<double>((Now - At).count());
  for (const part &Part : Parts) {
    double Before = 0;
    for (const auto &[Marked, RoomTime] : Mark) {
      Before = Marked == Part.Class ? RoomTime : Before;
    }
    double RoomTime = Part.RoomTime +
                      static_cast<double>(Part.getRoom()) * SinceAdvance -
                      Before;
    if (Part.Class == Class) {
      RoomTime -= Room * Span;
    }
    if (RoomTime > 0) {
      Mean.push_back(
          {.Class = Part.Class,
           .Share =
               std::min(1.0, RoomTime / Span / static_cast<double>(Capacity))});
    }
  }
  return Mean;
}

void presence::getShares(std::uint64_t Capacity,
                         std::vector<neighbour> &Shares) const {
  Shares.clear();
  for (const part &Part : Parts) {
    if (Part.getRoom() > 0 && Capacity > 0) {
      Shares.push_back(
          {.Class = Part.Class,
           .Share = std::min(1.0, static_cast<double>(Part.getRoom()) /
                                      static_cast<double>(Capacity))});
    }
  }
}

} // namespace crocuswood::interference
