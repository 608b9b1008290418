#include "class_table.h"

namespace crocuswood::entry {

namespace {

// Part of the target taken as a task's run time before anything is learned.
constexpr int FallbackDivisor = 4;

} // namespace

duration work_class::expect(std::optional<duration> Declared) const {
  return RunTimes.expect(Declared, Spec.AnswerWithin / FallbackDivisor);
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
