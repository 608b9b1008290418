#include <crocuswood/overload.h>

#include <algorithm>
#include <cmath>

namespace crocuswood::overload {

namespace {

double seconds(duration Span) {
  return std::chrono::duration<double>(Span).count();
}

// Slot seconds below which a flow is forgotten.
constexpr double LeastWork = 0.001;

} // namespace

double fair_shares::weigh(const flow &Flow, instant Now) const {
  return Flow.Work *
         std::exp(-seconds(Now - Flow.At) / seconds(Options.Memory));
}

void fair_shares::note(instant Now, const std::string &Flow, duration Work) {
  flow &Noted = Flows[Flow];
  Noted = {.Work = weigh(Noted, Now) + seconds(Work), .At = Now};
  Total = {.Work = weigh(Total, Now) + seconds(Work), .At = Now};
  // Once in a while, so that a job costs no walk through all flows.
  if (Flows.size() > Options.MaxFlows || Now - LimitedAt >= Options.Memory) {
    limit(Now);
  }
}

void fair_shares::limit(instant Now) {
  LimitedAt = Now;
  std::erase_if(Flows, [&](const auto &Item) {
    return weigh(Item.second, Now) < LeastWork;
  });
  while (Flows.size() > Options.MaxFlows) {
    const auto Lightest = std::ranges::min_element(
        Flows, {}, [&](const auto &Item) { return weigh(Item.second, Now); });
    Total.Work =
        std::max(0.0, weigh(Total, Now) - weigh(Lightest->second, Now));
    Total.At = Now;
    Flows.erase(Lightest);
  }
}

double fair_shares::getExcess(instant Now, const std::string &Flow) const {
  const auto Place = Flows.find(Flow);
  const double All = weigh(Total, Now);
  if (Place == Flows.end() || All <= 0) {
    return 0;
  }
  return weigh(Place->second, Now) * static_cast<double>(Flows.size()) / All;
}

double fair_shares::getTolerance(instant Now, const std::string &Flow) const {
  const double Excess = getExcess(Now, Flow);
  return Excess <= Options.Excess ? 1 : Options.Excess / Excess;
}

} // namespace crocuswood::overload
