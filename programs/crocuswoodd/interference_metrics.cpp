#include "interference_metrics.h"

#include <algorithm>
#include <sstream>

namespace crocuswood::daemon {

namespace {

void writeHistogram(std::ostream &Out, const std::string &Name,
                    const interference::slowdown_histogram &Histogram) {
  Out << "# TYPE " << Name << " histogram\n";
  std::uint64_t Count = 0;
  for (std::size_t Each = 0; Each < Histogram.Bounds.size(); ++Each) {
    Count += Histogram.Counts[Each];
    Out << Name << "_bucket{le=\"" << Histogram.Bounds[Each] << "\"} " << Count
        << '\n';
  }
  Count += Histogram.Counts.back();
  Out << Name << "_bucket{le=\"+Inf\"} " << Count << '\n';
  Out << Name << "_sum " << Histogram.Sum << '\n';
  Out << Name << "_count " << Count << '\n';
}

} // namespace

std::string writeInterferenceMetrics(const entry::status &Status) {
  if (!Status.InterferenceFigures) {
    return "";
  }
  const entry::interference_figures &Figures = *Status.InterferenceFigures;
  const auto Believed = std::count_if(
      Status.Interference.begin(), Status.Interference.end(),
      [](const entry::interference_status &Pair) { return Pair.Believed; });
  std::ostringstream Out;
  Out << "# TYPE crocuswood_interference_changes_total counter\n"
      << "crocuswood_interference_changes_total{change=\"found\"} "
      << Figures.Found << '\n'
      << "crocuswood_interference_changes_total{change=\"gone\"} "
      << Figures.Gone << '\n'
      << "# TYPE crocuswood_interference_pairs gauge\n"
      << "crocuswood_interference_pairs{believed=\"yes\"} " << Believed << '\n'
      << "crocuswood_interference_pairs{believed=\"no\"} "
      << static_cast<std::ptrdiff_t>(Status.Interference.size()) - Believed
      << '\n';
  writeHistogram(Out, "crocuswood_interference_slowdown", Figures.Slowdowns);
  return Out.str();
}

} // namespace crocuswood::daemon
