#include "load/load_summary.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuswood::stand_ins {

namespace {

constexpr double MedianShare = 0.5;
constexpr double TailShare = 0.99;

double quantile(std::vector<double> Values, double Share) {
  if (Values.empty()) {
    return 0;
  }
  const auto Place = std::min(
      Values.size() - 1,
      static_cast<std::size_t>(Share * static_cast<double>(Values.size())));
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(Place);
  std::nth_element(Values.begin(), Middle, Values.end());
  return *Middle;
}

nlohmann::ordered_json quantiles(const std::vector<double> &Values) {
  return {{"p50", quantile(Values, MedianShare)},
          {"p99", quantile(Values, TailShare)}};
}

} // namespace

std::string load_summary::write() const {
  const double Seconds = std::max(ElapsedSeconds, 1e-9);
  const nlohmann::ordered_json Root = {
      {"sent", Sent},
      {"completed", Completed},
      {"refused", Refused},
      {"failed", Failed},
      {"unanswered", Unanswered},
      {"unreached", Unreached},
      {"mismatched", Mismatched},
      {"resubmitted", Resubmitted},
      {"errors", Errors},
      {"elapsed_s", ElapsedSeconds},
      {"jobs_per_second", static_cast<double>(Completed) / Seconds},
      {"tasks_per_second", static_cast<double>(TasksCompleted) / Seconds},
      {"latency_ms", quantiles(Latencies)},
      {"added_ms", quantiles(Added)}};
  return Root.dump();
}

} // namespace crocuswood::stand_ins
