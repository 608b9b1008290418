/// \file
/// Searches schedules of faults for broken promises.
#pragma once

#include "fleet.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

namespace crocuswood::explorer {

/// A schedule that breaks a promise.
struct counterexample {
  schedule Schedule;
  std::string Violation;
  std::string Story; ///< The faults in words, with their times.
};

/// Plays one schedule. \returns what it breaks, or nothing.
std::optional<counterexample> play(const scenario &Scenario,
                                   const schedule &Schedule);

/// Plays every schedule of a bounded number of faults, depth first. A state of
/// the fleet that was reached before, with as many faults left, is not played
/// on.
class exhaustive_search {
public:
  /// Several searches may share the work: of the first faults, this one takes
  /// each \p Shards-th, from \p Shard on.
  explicit exhaustive_search(const scenario &Scenario, std::size_t Shard = 0,
                             std::size_t Shards = 1)
      : Scenario(Scenario), Shard(Shard), Shards(Shards) {}

  /// Plays no faults but those of this kind.
  void setOnly(bool (*Value)(fault_kind)) { Only = Value; }

  /// Stops after \p MaxFound counterexamples.
  void run(unsigned Faults, std::size_t MaxFound = 1);

  const std::vector<counterexample> &getFound() const { return Found; }
  std::uint64_t countRuns() const { return Runs; }
  /// \returns the schedules that reached a known state.
  std::uint64_t countCuts() const { return Cuts; }

private:
  void explore(schedule &Prefix, unsigned Left);

  const scenario &Scenario;
  std::size_t Shard;
  std::size_t Shards;
  bool (*Only)(fault_kind) = nullptr;
  std::size_t MaxFound = 1;
  std::unordered_set<std::uint64_t> Visited;
  std::vector<counterexample> Found;
  std::uint64_t Runs = 0;
  std::uint64_t Cuts = 0;
};

/// Plays one random schedule of up to \p MaxFaults faults, the same for one
/// seed. \returns what it breaks, or nothing.
std::optional<counterexample>
playRandom(const scenario &Scenario, unsigned MaxFaults, std::uint64_t Seed);

} // namespace crocuswood::explorer
