#include "team_table.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;
// Starts may be saved up for this long. It bounds by how much a burst exceeds
// the quota.
constexpr double BurstSeconds = 0.1;

} // namespace

void team_table::update(const configuration &Configuration) {
  for (team &Team : Teams) {
    Team.Configured = false;
  }
  for (const auto &[Name, Spec] : Configuration.Teams) {
    const auto Next = static_cast<team_index>(Teams.size());
    const auto [Place, Added] = Names.try_emplace(Name, Next);
    if (Added) {
      Teams.emplace_back();
    }
    Teams[Place->second].Spec = Spec;
    Teams[Place->second].Configured = true;
  }
}

std::optional<team_index> team_table::find(const std::string &Name) const {
  const auto Place = Names.find(Name);
  if (Place == Names.end() || !Teams[Place->second].Configured) {
    return std::nullopt;
  }
  return Place->second;
}

double team_table::rateOf(const team &Team) const {
  return Team.Spec.TaskStartsPerSecond / Entries;
}

void team_table::earn(team &Team, instant Now) const {
  const double Rate = rateOf(Team);
  const auto Elapsed = static_cast<double>((Now - Team.Earned).count());
  const double MaxStarts = std::max(1.0, Rate * BurstSeconds);
  Team.Starts =
      std::min(MaxStarts, Team.Starts + Elapsed * Rate / MicrosecondsPerSecond);
  Team.Earned = Now;
}

void team_table::setEntries(std::uint32_t Count, instant Now) {
  if (Count == Entries) {
    return;
  }
  for (team &Team : Teams) {
    earn(Team, Now);
  }
  Entries = Count;
}

bool team_table::takeStart(team_index Index, instant Now) {
  team &Team = Teams[Index];
  if (Team.Spec.TaskStartsPerSecond <= 0) {
    return true;
  }
  earn(Team, Now);
  if (Team.Starts < 1) {
    return false;
  }
  Team.Starts -= 1;
  return true;
}

duration team_table::expectedWait(team_index Index, std::uint32_t Tasks) const {
  const team &Team = Teams[Index];
  if (Team.Spec.TaskStartsPerSecond <= 0) {
    return {};
  }
  const double Ahead = static_cast<double>(Team.Waiting + Tasks) - Team.Starts;
  return duration(static_cast<std::int64_t>(
      std::max(0.0, Ahead) * MicrosecondsPerSecond / rateOf(Team)));
}

void team_table::addWaiting(team_index Index, std::int64_t Tasks) {
  Teams[Index].Waiting += Tasks;
}

void team_table::park(job &Job) {
  Job.Parked = true;
  Teams[Job.Team].Parked[{Job.ShareSince, Job.Id.Sequence}] = &Job;
  TeamsWithParked.insert(Job.Team);
}

void team_table::unpark(job &Job) {
  team &Team = Teams[Job.Team];
  Job.Parked = false;
  Team.Parked.erase({Job.ShareSince, Job.Id.Sequence});
  if (Team.Parked.empty()) {
    TeamsWithParked.erase(Job.Team);
  }
}

job *team_table::takeReady(instant Now) {
  for (const team_index Index : TeamsWithParked) {
    team &Team = Teams[Index];
    earn(Team, Now);
    if (Team.Starts >= 1 || Team.Spec.TaskStartsPerSecond <= 0) {
      job *Ready = Team.Parked.begin()->second;
      unpark(*Ready);
      return Ready;
    }
  }
  return nullptr;
}

std::optional<instant> team_table::getNextReady(instant Now) const {
  std::optional<instant> Next;
  for (const team_index Index : TeamsWithParked) {
    const team &Team = Teams[Index];
    const double Missing = std::max(0.0, 1 - Team.Starts);
    const double Rate = std::max(rateOf(Team), 1 / MicrosecondsPerSecond);
    const instant Ready =
        Team.Earned + duration(static_cast<std::int64_t>(
                                   Missing * MicrosecondsPerSecond / Rate) +
                               1);
    const instant At = std::max(Ready, Now + duration(1));
    Next = Next ? std::min(*Next, At) : At;
  }
  return Next;
}

} // namespace crocuswood::entry
