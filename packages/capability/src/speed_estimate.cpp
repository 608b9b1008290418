#include <crocuswood/capability.h>

#include <algorithm>
#include <cmath>

namespace crocuswood::capability {

namespace {

/// Share of the latest run. An endpoint with 16 cores ends this many runs in
/// less than a second.
constexpr double LearningShare = 1.0 / 24;
/// Runs that the assumption of a usual speed counts for.
constexpr double PriorRuns = 4;
/// A single run moves the estimate by a factor of e^2 at most: some tasks are
/// long of their own accord.
constexpr double MaxLog = 2;
/// Changes of less than this are not worth telling, in thousandths.
constexpr std::uint32_t Step = 50;

} // namespace

void speed_estimate::note(duration RunTime, duration Expected) {
  if (RunTime <= duration::zero() || Expected <= duration::zero()) {
    return;
  }
  const double Log = std::log(static_cast<double>(RunTime.count()) /
                              static_cast<double>(Expected.count()));
  ++Runs;
  const double Share = std::max(LearningShare, 1.0 / Runs);
  MeanLog += (std::clamp(Log, -MaxLog, MaxLog) - MeanLog) * Share;
}

std::uint32_t speed_estimate::getSlowness() const {
  const double Confidence = Runs / (Runs + PriorRuns);
  const double Slowness = UsualSlowness * std::exp(MeanLog * Confidence);
  return std::max<std::uint32_t>(
      Step, static_cast<std::uint32_t>(std::lround(Slowness / Step)) * Step);
}

} // namespace crocuswood::capability
