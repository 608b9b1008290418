/// \file
/// Pseudo-random numbers from a seed that the caller of the core chooses.
#pragma once

#include <cstdint>

namespace crocuswood::entry {

/// SplitMix64: small, and the same numbers for the same seed everywhere.
class generator {
public:
  explicit generator(std::uint64_t Seed) : State(Seed) {}

  std::uint64_t next() {
    State += 0x9e3779b97f4a7c15ULL;
    std::uint64_t Value = State;
    Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
    return Value ^ (Value >> 31U);
  }
  /// \returns a number below \p Bound, which is not 0.
  std::uint64_t below(std::uint64_t Bound) { return next() % Bound; }

private:
  std::uint64_t State;
};

} // namespace crocuswood::entry
