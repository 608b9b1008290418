#include "figures.h"

#include <algorithm>
#include <cmath>

namespace crocuswood::replay {

namespace {

constexpr double Median = 0.5;
constexpr double Tail = 0.99;

} // namespace

double findQuantile(std::vector<double> Values, double Quantile) {
  if (Values.empty()) {
    return 0;
  }
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(Values.size())));
  const auto Place = Values.begin() + static_cast<std::ptrdiff_t>(
                                          std::max<std::size_t>(Rank, 1) - 1);
  std::nth_element(Values.begin(), Place, Values.end());
  return *Place;
}

void figure_table::addCompleted(const std::string &Class, duration Response,
                                duration OwnTime) {
  class_figures &Figures = Classes[Class];
  ++Figures.Completed;
  const auto Spec = Configuration.Classes.find(Class);
  if (Spec != Configuration.Classes.end() &&
      Response > Spec->second.AnswerWithin) {
    ++Figures.Missed;
  }
  Stretches[Class].push_back(static_cast<double>(Response.count()) /
                             static_cast<double>(OwnTime.count()));
}

std::map<std::string, class_figures> figure_table::makeClasses() const {
  auto Result = Classes;
  for (const auto &[Class, Values] : Stretches) {
    Result[Class].StretchP50 = findQuantile(Values, Median);
    Result[Class].StretchP99 = findQuantile(Values, Tail);
  }
  return Result;
}

double figure_table::findStretch(double Quantile) const {
  std::vector<double> All;
  for (const auto &[Class, Values] : Stretches) {
    All.insert(All.end(), Values.begin(), Values.end());
  }
  return findQuantile(std::move(All), Quantile);
}

} // namespace crocuswood::replay
