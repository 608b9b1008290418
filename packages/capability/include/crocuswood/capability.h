/// \file
/// Public header of the package capability: how fast an endpoint is, and which
/// of several endpoints with room suits a task. No sockets, clocks, threads,
/// random source or logging.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <vector>

namespace crocuswood::capability {

/// Learns how slow an endpoint is from its runs against what was expected of
/// them. It follows a change within some twenty runs and forgets what came
/// before.
class speed_estimate {
public:
  /// Takes a run that completed after \p RunTime. Runs without an expectation
  /// tell nothing.
  void note(duration RunTime, duration Expected);
  /// The endpoint has been replaced or restarted.
  void reset() { *this = speed_estimate(); }
  /// \returns run times against those expected, in thousandths. Drawn towards
  /// UsualSlowness while few runs are known.
  std::uint32_t getSlowness() const;
  std::uint32_t countRuns() const { return Runs; }

private:
  double MeanLog = 0; ///< Of run time over expectation.
  std::uint32_t Runs = 0;
};

/// A task as placement sees it.
struct demand {
  duration Target{};  ///< From arrival to answer.
  duration RunTime{}; ///< Expected on an endpoint of usual speed.

  friend bool operator==(const demand &, const demand &) = default;
};

/// An endpoint with room for the task.
struct candidate {
  double Slowness = 1;  ///< Relative to the mean over all endpoints.
  double FreeShare = 0; ///< Of its capacity, by the latest estimate.
  duration Wait{};      ///< Expected until it has room for the task.

  friend bool operator==(const candidate &, const candidate &) = default;
};

/// \returns whether the task can be on time there after the expected wait.
bool isFastEnough(const demand &Demand, const candidate &Candidate);

/// \returns how well the endpoint suits the task; more is better.
///
/// What counts is the time that the task may still wait there without being
/// late, up to what is needed for chance delays, and the share of the endpoint
/// that is free. So long tasks and tight targets go to fast endpoints, and
/// tasks that are on time anywhere spread by load alone.
double rate(const demand &Demand, const candidate &Candidate);

/// Relates the slowness of endpoints to their mean, so that what entries learn
/// of classes and companions of endpoints can't drift together.
class speed_scale {
public:
  /// \p Slownesses are those that companions tell, in thousandths.
  void update(const std::vector<std::uint32_t> &Slownesses);
  /// \returns \p Slowness relative to the geometric mean.
  double relate(std::uint32_t Slowness) const;

private:
  double Mean = UsualSlowness;
};

} // namespace crocuswood::capability
