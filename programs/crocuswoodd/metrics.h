/// \file
/// Metrics of a process, gathered from its time line.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>

namespace crocuswood::daemon {

/// Counts events and measures response and run times by class, with
/// Boost.Accumulators.
class metrics {
public:
  metrics();
  ~metrics();

  void take(const timeline_event &Event);
  /// \returns the figures in the Prometheus text format.
  std::string write() const;

private:
  class distribution;

  void takeEnd(const timeline_event &Event, const std::string &Outcome);
  void measure(std::map<std::string, std::unique_ptr<distribution>> &Of,
               const std::string &Class, std::int64_t Microseconds);

  std::map<event_kind, std::uint64_t> Events;
  std::map<std::pair<std::string, std::string>, std::uint64_t>
      Ends; ///< By class and outcome.
  std::unordered_map<job_id, std::int64_t>
      SubmittedAt; ///< Wall time of jobs without an end.
  std::unordered_map<task_id, std::string>
      RunningClass; ///< Class of tasks without an end.
  std::map<std::string, std::unique_ptr<distribution>> ResponseTimes;
  std::map<std::string, std::unique_ptr<distribution>> RunTimes;
  std::map<std::string, std::unique_ptr<distribution>> DrainTimes;
};

} // namespace crocuswood::daemon
