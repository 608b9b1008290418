#include "figures.h"
#include "fleet.h"
#include "outcomes.h"
#include "trace_content.h"

#include <crocuswood/checker.h>
#include <crocuswood/replay.h>
#include <crocuswood/timeline.h>

#include <algorithm>
#include <set>
#include <utility>

namespace crocuswood::replay {

namespace {

figure_table gatherFigures(const trace_content &Trace,
                           const std::vector<submission> &Submissions) {
  figure_table Figures(Trace.Header.Configuration);
  for (const submission &Each : Submissions) {
    const std::string &Class = Each.Arrival->Class;
    if (!Each.Answer) {
      Figures.addFailed(Class);
      continue;
    }
    if (const auto *Failure = std::get_if<job_failure>(&Each.Answer->Outcome)) {
      if (Failure->Certainty == run_certainty::NotRun) {
        Figures.addRefused(Class);
      } else {
        Figures.addFailed(Class);
      }
      continue;
    }
    Figures.addCompleted(Class, Each.EndedAt - Each.Arrival->At,
                         *std::ranges::max_element(Each.Arrival->RunTimes));
  }
  return Figures;
}

// Counts run time of answered jobs while requests kept arriving.
double computeGoodput(const trace_content &Trace, const fleet &Fleet) {
  std::set<job_id> Answered;
  for (const submission &Each : Fleet.getSubmissions()) {
    if (Each.Answer && Each.Answer->Job &&
        std::holds_alternative<job_results>(Each.Answer->Outcome)) {
      Answered.insert(*Each.Answer->Job);
    }
  }
  std::uint32_t Slots = 0;
  for (const companion_description &Each : Trace.Header.Companions) {
    Slots += Each.Started ? Each.Offer.Slots : 0;
  }
  if (Trace.Arrivals.empty() || Slots == 0) {
    return 0;
  }
  const instant Last = Trace.Arrivals.back().At;
  duration Useful{};
  for (const task_run &Run : Fleet.getRuns()) {
    if (Run.From < Last && Answered.contains(Run.Task.Job)) {
      Useful += std::min(Run.Until, Last) - Run.From;
    }
  }
  const duration Span = Last - Trace.Arrivals.front().At;
  return static_cast<double>(Useful.count()) /
         (static_cast<double>(Span.count()) * Slots);
}

} // namespace

run_result run(const trace &Trace, const run_options &Options) {
  const trace_content &Content = Trace.getContent();
  fleet Fleet(Content, Options.Policy);
  Fleet.run();
  run_result Result;
  std::vector<std::vector<timeline_event>> Parts;
  Parts.push_back(Fleet.takeTimeline());
  Result.Timeline = timeline::merge(std::move(Parts));
  Result.Verdict = checker::judge(Result.Timeline);
  const figure_table Figures = gatherFigures(Content, Fleet.getSubmissions());
  constexpr double Median = 0.5;
  constexpr double Tail = 0.99;
  Result.Classes = Figures.makeClasses();
  Result.StretchP50 = Figures.findStretch(Median);
  Result.StretchP99 = Figures.findStretch(Tail);
  Result.Goodput = computeGoodput(Content, Fleet);
  if (!Fleet.getRuns().empty()) {
    Result.WastedPerTask = static_cast<double>(Fleet.countWasted()) /
                           static_cast<double>(Fleet.getRuns().size());
  }
  Result.Outcomes = judgeOutcomes({.Trace = Content,
                                   .Submissions = Fleet.getSubmissions(),
                                   .Timeline = Result.Timeline,
                                   .Verdict = Result.Verdict,
                                   .WastedPerTask = Result.WastedPerTask,
                                   .Goodput = Result.Goodput,
                                   .LeastRevision = Fleet.getLeastRevision(),
                                   .Unstopped = Fleet.countUnstopped()});
  if (!Options.KeepTimeline) {
    Result.Timeline.clear();
  }
  return Result;
}

} // namespace crocuswood::replay
