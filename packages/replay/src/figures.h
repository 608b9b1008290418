/// \file
/// Figures over answered requests.
#pragma once

#include <crocuswood/model.h>
#include <crocuswood/replay.h>

#include <map>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// \returns the smallest value that is not below the share \p Quantile of
/// \p Values; 0 if there are none.
double findQuantile(std::vector<double> Values, double Quantile);

/// Gathers response times by class.
class figure_table {
public:
  explicit figure_table(const configuration &Configuration)
      : Configuration(Configuration) {}

  /// Counts a complete answer. \p OwnTime is the longest run time of a task of
  /// the job.
  void addCompleted(const std::string &Class, duration Response,
                    duration OwnTime);
  void addRefused(const std::string &Class) { ++Classes[Class].Refused; }
  void addFailed(const std::string &Class) { ++Classes[Class].Failed; }
  /// \returns the figures by class, quantiles included.
  std::map<std::string, class_figures> makeClasses() const;
  /// \returns a quantile over all classes together.
  double findStretch(double Quantile) const;

private:
  const configuration &Configuration;
  std::map<std::string, class_figures> Classes;
  std::map<std::string, std::vector<double>> Stretches;
};

} // namespace crocuswood::replay
