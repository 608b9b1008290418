#include <crocuswood/timeline.h>

#include <algorithm>
#include <iterator>
#include <tuple>
#include <utility>

namespace crocuswood::timeline {

std::vector<timeline_event>
merge(std::vector<std::vector<timeline_event>> Parts) {
  std::vector<timeline_event> Merged;
  std::size_t Total = 0;
  for (const std::vector<timeline_event> &Part : Parts) {
    Total += Part.size();
  }
  Merged.reserve(Total);
  for (std::vector<timeline_event> &Part : Parts) {
    std::move(Part.begin(), Part.end(), std::back_inserter(Merged));
  }
  // Stable: the events of one process keep their order even at equal times.
  std::stable_sort(Merged.begin(), Merged.end(),
                   [](const timeline_event &Left, const timeline_event &Right) {
                     return std::tie(Left.Time, Left.Process) <
                            std::tie(Right.Time, Right.Process);
                   });
  return Merged;
}

} // namespace crocuswood::timeline
