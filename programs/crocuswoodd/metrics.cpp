#include "metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <sstream>
#include <utility>

namespace crocuswood::daemon {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Probabilities = {0.5, 0.9, 0.99};
constexpr double MicrosecondsPerSecond = 1e6;

task_id getTask(const timeline_event &Event) {
  return {.Job = Event.Job.value_or(job_id{}), .Index = Event.Task.value_or(0)};
}

} // namespace

/// Count, sum and estimated quantiles of a time in seconds.
class metrics::distribution {
public:
  distribution()
      : Values(acc::extended_p_square_probabilities = Probabilities) {}

  void add(double Seconds) { Values(Seconds); }

  void write(std::ostream &Out, const std::string &Name,
             const std::string &Class) const {
    const std::string Label = "class=\"" + Class + "\"";
    for (const double Probability : Probabilities) {
      const double Quantile =
          acc::quantile(Values, acc::quantile_probability = Probability);
      Out << Name << '{' << Label << ",quantile=\"" << Probability << "\"} "
          << Quantile << '\n';
    }
    Out << Name << "_sum{" << Label << "} " << acc::sum(Values) << '\n';
    Out << Name << "_count{" << Label << "} " << acc::count(Values) << '\n';
  }

private:
  acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                          acc::tag::extended_p_square_quantile>>
      Values;
};

metrics::metrics() = default;
metrics::~metrics() = default;

void metrics::take(const timeline_event &Event) {
  ++Events[Event.Kind];
  switch (Event.Kind) {
  case event_kind::JobSubmitted:
    if (Event.Job) {
      SubmittedAt[*Event.Job] = Event.Time.WallMicroseconds;
    }
    break;
  case event_kind::JobCompleted:
    takeEnd(Event, "completed");
    break;
  case event_kind::JobFailed:
    takeEnd(Event, "failed");
    break;
  case event_kind::JobRefused:
    takeEnd(Event, "refused");
    break;
  case event_kind::TaskStarted:
    RunningClass[getTask(Event)] = Event.Class;
    break;
  case event_kind::TaskEnded:
  case event_kind::TaskFailed:
  case event_kind::TaskLost:
  case event_kind::TaskStopped: {
    const auto Running = RunningClass.find(getTask(Event));
    if (Running != RunningClass.end()) {
      measure(RunTimes, Running->second, Event.Value);
      RunningClass.erase(Running);
    }
    break;
  }
  case event_kind::EvacuationDrained:
    measure(DrainTimes, "all", Event.Value);
    break;
  default:
    break;
  }
}

void metrics::takeEnd(const timeline_event &Event, const std::string &Outcome) {
  ++Ends[{Event.Class, Outcome}];
  if (!Event.Job) {
    return;
  }
  const auto Submitted = SubmittedAt.find(*Event.Job);
  if (Submitted == SubmittedAt.end()) {
    return;
  }
  measure(ResponseTimes, Event.Class,
          Event.Time.WallMicroseconds - Submitted->second);
  SubmittedAt.erase(Submitted);
}

void metrics::measure(std::map<std::string, std::unique_ptr<distribution>> &Of,
                      const std::string &Class, std::int64_t Microseconds) {
  std::unique_ptr<distribution> &Distribution = Of[Class];
  if (!Distribution) {
    Distribution = std::make_unique<distribution>();
  }
  Distribution->add(static_cast<double>(Microseconds) / MicrosecondsPerSecond);
}

std::string metrics::write() const {
  std::ostringstream Out;
  Out << "# TYPE crocuswood_events_total counter\n";
  for (const auto &[Kind, Count] : Events) {
    Out << "crocuswood_events_total{kind=\"" << toString(Kind) << "\"} "
        << Count << '\n';
  }
  Out << "# TYPE crocuswood_jobs_total counter\n";
  for (const auto &[Labels, Count] : Ends) {
    Out << "crocuswood_jobs_total{class=\"" << Labels.first << "\",outcome=\""
        << Labels.second << "\"} " << Count << '\n';
  }
  Out << "# TYPE crocuswood_response_seconds summary\n";
  for (const auto &[Class, Distribution] : ResponseTimes) {
    Distribution->write(Out, "crocuswood_response_seconds", Class);
  }
  Out << "# TYPE crocuswood_run_seconds summary\n";
  for (const auto &[Class, Distribution] : RunTimes) {
    Distribution->write(Out, "crocuswood_run_seconds", Class);
  }
  Out << "# TYPE crocuswood_evacuation_drain_seconds summary\n";
  for (const auto &[Class, Distribution] : DrainTimes) {
    Distribution->write(Out, "crocuswood_evacuation_drain_seconds", Class);
  }
  return Out.str();
}

} // namespace crocuswood::daemon
