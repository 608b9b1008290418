#include "world.h"

#include <algorithm>
#include <utility>

namespace crocuswood::explorer {

bool world::advance() {
  while (!Steps.empty()) {
    const auto First = Steps.begin();
    Now = std::max(Now, First->first);
    pending_step Step = std::move(First->second);
    Steps.erase(First);
    if (Step.IsValid && !Step.IsValid()) {
      continue;
    }
    const bool MaySuffer =
        !Step.Offered.empty() && Now >= WindowFrom && Now < WindowUntil;
    const bool Happens = !MaySuffer || sufferFault(Step);
    if (Cut) {
      return false;
    }
    if (Happens) {
      Step.Run();
    }
    return true;
  }
  return false;
}

void world::note(const std::string &Line) {
  Story += "  " + std::to_string((Now - WindowFrom).count() / 1'000) + " ms, " +
           Line + "\n";
}

bool world::sufferFault(pending_step &Step) {
  const std::uint32_t At = Number++;
  const auto Choice = Faults.choose(At, Step.Offered);
  if (!Choice) {
    return true;
  }
  const fault &Fault = Step.Offered.at(*Choice);
  note("step " + std::to_string(At) + ", " + std::string(Step.What) + " at " +
       std::string(Step.Who) + ": " + toString(Fault));
  const bool Happens = Step.Suffer(Fault);
  // What is left of the step belongs to the state.
  std::uint64_t State = mix(DigestState(), digestPending());
  State = mix(State, Happens ? Step.Label : 0);
  Cut = !Faults.reach(State);
  return Happens;
}

std::uint64_t world::digestPending() const {
  std::uint64_t Digest =
      static_cast<std::uint64_t>(Now.time_since_epoch().count());
  for (const auto &[At, Step] : Steps) {
    if (Step.IsValid && !Step.IsValid()) {
      continue;
    }
    const auto Time = static_cast<std::uint64_t>(At.time_since_epoch().count());
    Digest = mix(mix(Digest, Time), mix(Step.Label, Step.What));
  }
  return Digest;
}

} // namespace crocuswood::explorer
