/// \file
/// Random numbers that depend on a seed alone.
#pragma once

#include <crocuswood/model.h>

#include <cmath>
#include <cstdint>

namespace crocuswood::replay {

/// SplitMix64. Its distributions are spelled out, since those of the standard
/// library differ between implementations.
class random_stream {
public:
  explicit random_stream(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t Mixed = State;
    Mixed = (Mixed ^ (Mixed >> 30)) * 0xbf58476d1ce4e5b9ULL;
    Mixed = (Mixed ^ (Mixed >> 27)) * 0x94d049bb133111ebULL;
    return Mixed ^ (Mixed >> 31);
  }
  /// \returns a number in [0, \p Bound).
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }
  /// \returns a number in [0, 1).
  double unit() {
    constexpr double Scale = 1.0 / 9007199254740992.0; // 2 to the power of 53.
    return static_cast<double>(next() >> 11) * Scale;
  }
  double between(double Low, double High) {
    return Low + (High - Low) * unit();
  }
  /// \returns an exponentially distributed number.
  double exponential(double Mean) { return -Mean * std::log(1 - unit()); }

private:
  std::uint64_t State;
};

} // namespace crocuswood::replay
