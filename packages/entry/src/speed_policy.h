/// \file
/// Places tasks by the speed and the room of endpoints.
#pragma once

#include "generator.h"
#include "placement_policy.h"

#include <vector>

namespace crocuswood::entry {

/// Compares a few endpoints drawn at random among those with room and takes the
/// one that suits the task best.
///
/// Several entries place at once and see each other's tasks some 100 ms late.
/// If all of them took the endpoint with the most room, they would meet there;
/// random choices spread them, and few are enough to find a good one.
class speed_policy : public placement_policy {
public:
  explicit speed_policy(std::uint64_t Seed) : Generator(Seed) {}
  companion_index choose(const placement_query &Query) override;

private:
  /// \returns what is known of \p Companion towards the task.
  static capability::candidate candidateOf(const placement_query &Query,
                                           companion_index Companion);
  /// \returns whether the task may go to \p Candidate although it waits there
  /// or runs slowly.
  static bool suits(const placement_query &Query,
                    const capability::candidate &Candidate);
  companion_index drawBest(const placement_query &Query);
  /// \returns what the harm between the task and those on \p Companion takes
  /// from its rating.
  double rateHarm(const placement_query &Query, companion_index Companion);

  generator Generator;
  std::vector<interference::neighbour> Beside; ///< Kept for its memory.
};

} // namespace crocuswood::entry
