#include <crocuswood/capability.h>

#include <algorithm>
#include <chrono>

namespace crocuswood::capability {

namespace {

using seconds = std::chrono::duration<double>;

/// Part of the run time by which runs differ by chance.
constexpr double ChanceShare = 0.5;
/// Delays on the way and in a short queue.
constexpr seconds UsualDelay = std::chrono::milliseconds(30);
/// Below this part of the run time nothing is left for the way there and back.
constexpr double LeastSlackShare = 0.05;

seconds slackOf(const demand &Demand, const candidate &Candidate) {
  return seconds(Demand.Target) - seconds(Candidate.Wait) -
         seconds(Demand.RunTime) * Candidate.Slowness;
}

} // namespace

bool isFastEnough(const demand &Demand, const candidate &Candidate) {
  return slackOf(Demand, Candidate) >=
         seconds(Demand.RunTime) * LeastSlackShare;
}

double rate(const demand &Demand, const candidate &Candidate) {
  const seconds Enough = seconds(Demand.RunTime) * ChanceShare + UsualDelay;
  return std::min(1.0, slackOf(Demand, Candidate) / Enough) +
         Candidate.FreeShare;
}

} // namespace crocuswood::capability
