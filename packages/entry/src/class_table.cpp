#include "class_table.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace crocuswood::entry {

namespace {

// Part of the target taken as a task's run time before anything is learned.
constexpr int FallbackDivisor = 4;

// Runs before the distribution of run times is trusted.
constexpr std::uint32_t EnoughRuns = 100;
// A run that lasts this many times longer than nearly all others is overdue.
// Below 2, long tasks of their own accord would be stopped.
constexpr double LongRunQuantile = 0.99;
constexpr int LongRunFactor = 2;
constexpr std::uint32_t MaxDoublings = 6;

} // namespace

duration work_class::expect(std::optional<duration> Declared) const {
  return RunTimes.expect(Declared, Spec.AnswerWithin / FallbackDivisor);
}

std::optional<duration> work_class::getRunLimit(std::uint32_t Stops,
                                                double Slowness) const {
  if (RunTimes.countSamples() < EnoughRuns) {
    return std::nullopt;
  }
  const duration Long = RunTimes.getQuantile(LongRunQuantile, duration{});
  const duration Limit =
      Long * LongRunFactor * (1U << std::min(Stops, MaxDoublings));
  return duration(static_cast<std::int64_t>(static_cast<double>(Limit.count()) *
                                            std::max(1.0, Slowness)));
}

duration work_class::getTarget() const {
  const auto RunTime = static_cast<double>(expect(std::nullopt).count());
  return Spec.AnswerWithin +
         duration(static_cast<std::int64_t>(RunTime * Spec.RunTimeFactor));
}

void class_table::update(const configuration &Configuration) {
  Pools.clear();
  for (work_class &Class : Classes) {
    Class.Configured = false;
  }
  for (const auto &[Name, Spec] : Configuration.Classes) {
    const auto [Place, Added] = Names.try_emplace(Name, getCount());
    if (Added) {
      Classes.emplace_back();
    }
    Classes[Place->second].Spec = Spec;
    Classes[Place->second].Configured = true;
    Pools[poolOf(Spec)].push_back(Place->second);
  }
  rankPriorities();
}

void class_table::rankPriorities() {
  std::set<std::uint32_t> Priorities;
  for (const work_class &Class : Classes) {
    if (Class.Configured) {
      Priorities.insert(Class.Spec.Priority);
    }
  }
  for (work_class &Class : Classes) {
    const auto After = Priorities.upper_bound(Class.Spec.Priority);
    Class.LessUrgent =
        static_cast<std::uint32_t>(std::distance(After, Priorities.end()));
  }
}

std::optional<class_index> class_table::find(const std::string &Name) const {
  const auto Place = Names.find(Name);
  if (Place == Names.end() || !Classes[Place->second].Configured) {
    return std::nullopt;
  }
  return Place->second;
}

const std::vector<class_index> &
class_table::findPool(const std::string &Pool) const {
  static const std::vector<class_index> None;
  const auto Place = Pools.find(Pool);
  return Place == Pools.end() ? None : Place->second;
}

} // namespace crocuswood::entry
