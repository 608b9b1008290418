/// \file
/// Time as the decision cores see it: plain numbers handed in by their caller.
#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <tuple>

namespace crocuswood {

/// A span of time in microseconds.
using duration = std::chrono::microseconds;

/// Tag of the clock behind `instant`; it has no `now()`, so no core can read a
/// clock.
struct core_clock {};

/// A point in time, in microseconds. It never goes back within one process.
/// Instants of two processes are not comparable; messages carry spans only.
using instant = std::chrono::time_point<core_clock, duration>;

/// Hybrid logical time: the sender's wall clock, raised above every time it has
/// heard of. A message's time is smaller than the time of anything that it
/// causes.
struct hybrid_time {
  std::int64_t WallMicroseconds = 0; ///< Since the Unix epoch.
  std::uint32_t Counter = 0;         ///< Orders events of the same microsecond.

  friend bool operator==(const hybrid_time &, const hybrid_time &) = default;
  friend std::strong_ordering operator<=>(const hybrid_time &Left,
                                          const hybrid_time &Right) {
    return std::tie(Left.WallMicroseconds, Left.Counter) <=>
           std::tie(Right.WallMicroseconds, Right.Counter);
  }
};

} // namespace crocuswood
