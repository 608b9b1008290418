/// \file
/// Makes arrivals from a description of the load.
#pragma once

#include "trace_content.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// Run times: most are spread evenly on a logarithmic scale, a share is in the
/// tail.
struct run_time_range {
  duration From{};
  duration To{};
  double TailShare = 0;
  duration TailFrom{};
  duration TailTo{};

  /// \returns the mean in microseconds.
  double getMean() const;
};

/// One kind of request in a load.
struct mix_part {
  std::string Class;
  std::string Team;
  double Share = 1;
  std::uint32_t FewestTasks = 1;
  std::uint32_t MostTasks = 1;
  run_time_range RunTimes;
  std::optional<duration> Deadline;
  bool Keyed = false;
  double DeclaredFrom = 0; ///< Declared over true run time, at least.
  double DeclaredTo = 0;
};

struct load_description {
  instant At;
  std::uint64_t Jobs = 0;
  double Rate = 0; ///< Jobs a second; 0: from the load.
  double Load = 0; ///< Share of the capacity.
  std::uint64_t Seed = 0;
  std::vector<mix_part> Mix;
};

/// \returns the arrivals of \p Load on a fleet with \p Slots slots.
std::vector<arrival> generate(const load_description &Load,
                              std::uint32_t Slots);

} // namespace crocuswood::replay
