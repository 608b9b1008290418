/// \file
/// Jobs that were submitted under one idempotency key.
#pragma once

#include "history.h"

#include <compare>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace crocuswood::checker {

/// A key belongs to its team.
struct team_key {
  std::string Team;
  std::string Key;

  friend bool operator==(const team_key &, const team_key &) = default;
  friend std::strong_ordering operator<=>(const team_key &Left,
                                          const team_key &Right) {
    return std::tie(Left.Team, Left.Key) <=> std::tie(Right.Team, Right.Key);
  }
};

using key_groups = std::map<team_key, std::vector<job_id>>;

/// \returns the jobs of each key.
key_groups groupByKey(const history &History);

} // namespace crocuswood::checker
