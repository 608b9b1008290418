/// \file
/// The core's own generator, so that equal seeds give equal decisions.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>

namespace crocuswood::companion {

/// SplitMix64.
class spread_generator {
public:
  explicit spread_generator(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
    return Mixed ^ (Mixed >> 31);
  }

  /// \returns a span between half of \p Mean and one and a half times \p Mean.
  duration spread(duration Mean) {
    const auto Whole = static_cast<std::uint64_t>(Mean.count());
    return Mean / 2 + duration(next() % (Whole + 1));
  }

  /// \returns a span shorter than \p Bound.
  duration below(duration Bound) {
    return duration(next() % static_cast<std::uint64_t>(Bound.count()));
  }

private:
  std::uint64_t State;
};

} // namespace crocuswood::companion
