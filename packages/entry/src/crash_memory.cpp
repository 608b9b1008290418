#include "crash_memory.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

// More of them change nothing.
constexpr std::size_t MaxReporters = 8;

} // namespace

bool crash_memory::note(const std::string &RunName, const task_crashes &Task,
                        const std::string &Reporter, instant Now) {
  const auto [Place, Added] = Jobs[RunName].try_emplace(Task.Index);
  record &Record = Place->second;
  if (Record.Reporters.size() < MaxReporters) {
    Record.Reporters.insert(digest(Reporter));
  }
  const auto Reporters = std::min(
      AloneCrashes, static_cast<std::uint32_t>(Record.Reporters.size()));
  const std::uint32_t Crashes = std::max(Task.Crashes, Reporters);
  if (Crashes <= Record.Crashes) {
    return false;
  }
  Record.Crashes = Crashes;
  if (Added) {
    Record.Age = Ages.insert(
        Ages.end(), {.RunName = RunName, .Index = Task.Index, .RaisedAt = Now});
  } else {
    Record.Age->RaisedAt = Now;
    Ages.splice(Ages.end(), Ages, Record.Age);
  }
  if (Ages.size() > MaxTasks) {
    forgetOldest();
  }
  return true;
}

std::uint32_t crash_memory::getCrashes(const std::string &RunName,
                                       std::uint32_t Index) const {
  const auto Job = Jobs.find(RunName);
  if (Job == Jobs.end()) {
    return 0;
  }
  const auto Task = Job->second.find(Index);
  return Task == Job->second.end() ? 0 : Task->second.Crashes;
}

std::optional<task_crashes>
crash_memory::findFatal(const std::string &RunName) const {
  const auto Job = Jobs.find(RunName);
  if (Job == Jobs.end()) {
    return std::nullopt;
  }
  for (const auto &[Index, Record] : Job->second) {
    if (Record.Crashes >= FatalCrashes) {
      return task_crashes{.Index = Index, .Crashes = Record.Crashes};
    }
  }
  return std::nullopt;
}

void crash_memory::checkTimes(instant Now) {
  while (!Ages.empty() && Now - Ages.front().RaisedAt > MaxAge) {
    forgetOldest();
  }
}

void crash_memory::forgetOldest() {
  const age &Oldest = Ages.front();
  const auto Job = Jobs.find(Oldest.RunName);
  Job->second.erase(Oldest.Index);
  if (Job->second.empty()) {
    Jobs.erase(Job);
  }
  Ages.pop_front();
}

} // namespace crocuswood::entry
