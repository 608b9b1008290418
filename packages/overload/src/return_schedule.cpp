#include <crocuswood/overload.h>

#include <algorithm>

namespace crocuswood::overload {

duration return_schedule::book(instant Now, const std::string &Caller,
                               duration Wait, duration Work, double Slots) {
  forget(Now);
  const instant Earliest = Now + std::max(Wait, duration::zero());
  const instant Latest = Now + Options.Longest;
  const instant Return = std::min(std::max(Earliest, NextReturn), Latest);
  // The next one waits until this job's part of the room has been used.
  const double Rate = std::max(Slots, 1.0) * Options.Share;
  NextReturn = Return + duration(static_cast<std::int64_t>(
                            static_cast<double>(Work.count()) / Rate));
  if (!Caller.empty()) {
    const auto [Place, Added] = Promises.try_emplace(Caller, Return);
    if (!Added) {
      Order.erase({Place->second, Caller});
      Place->second = Return;
    }
    Order.emplace(Return, Caller);
  }
  if (Promises.size() > Options.MaxPromises) {
    Promises.erase(Order.begin()->second);
    Order.erase(Order.begin());
  }
  return Return - Now;
}

bool return_schedule::redeem(instant Now, const std::string &Caller) {
  forget(Now);
  const auto Place = Promises.find(Caller);
  if (Place == Promises.end() || Now + Options.Early < Place->second) {
    return false;
  }
  Order.erase({Place->second, Caller});
  Promises.erase(Place);
  return true;
}

void return_schedule::forget(instant Now) {
  while (!Order.empty() && Order.begin()->first + Options.Kept < Now) {
    Promises.erase(Order.begin()->second);
    Order.erase(Order.begin());
  }
}

} // namespace crocuswood::overload
