/// \file
/// Teams and their quotas of task starts.
#pragma once

#include "job.h"

#include <crocuswood/entry.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswood::entry {

/// Keeps each team's share of its quota. The quota counts over all entries
/// together; each entry takes an equal part by the number of live entries.
class team_table {
public:
  /// Takes the teams of a new configuration.
  void update(const configuration &Configuration);
  /// \returns the configured team called \p Name.
  std::optional<team_index> find(const std::string &Name) const;
  const std::string &getName(team_index Team) const {
    return Teams[Team].Spec.Name;
  }

  /// Splits the quotas over \p Entries entries from now on.
  void setEntries(std::uint32_t Entries, instant Now);

  /// Takes one task start out of the team's quota. \returns false if none is
  /// left now.
  bool takeStart(team_index Team, instant Now);
  /// \returns how long the team's quota takes to start \p Tasks more tasks
  /// besides those that wait already.
  duration expectedWait(team_index Team, std::uint32_t Tasks) const;
  void addWaiting(team_index Team, std::int64_t Tasks);

  /// Keeps a job until its team has a start again.
  void park(job &Job);
  void unpark(job &Job);
  /// \returns a parked job whose team has a start, taken out, or null.
  job *takeReady(instant Now);
  /// \returns when a parked job may go on.
  std::optional<instant> getNextReady(instant Now) const;

private:
  struct team {
    team_spec Spec;
    bool Configured = false;
    double Starts = 1; ///< Starts that may be made at once.
    instant Earned;
    std::int64_t Waiting = 0;
    std::map<std::pair<instant, std::uint64_t>, job *> Parked;
  };

  double rateOf(const team &Team) const;
  void earn(team &Team, instant Now) const;

  std::vector<team> Teams;
  std::unordered_map<std::string, team_index> Names;
  std::set<team_index> TeamsWithParked;
  std::uint32_t Entries = 1;
};

} // namespace crocuswood::entry
