#include "not_run_judge.h"

namespace crocuswood::checker {

namespace {

constexpr std::string_view MayHaveRun = "may_have_run";

// A refusal says `not_run` unless it says otherwise.
bool saysNotRun(const timeline_event &End) {
  if (End.Kind == event_kind::JobRefused) {
    return End.Certainty != MayHaveRun;
  }
  return End.Certainty == toString(run_certainty::NotRun);
}

} // namespace

void not_run_judge::judge(const history &History, const limits & /*Limits*/,
                          report &Report) const {
  for (const auto &[Id, Job] : History.getJobs()) {
    const timeline_event *Start = Job.findStart();
    if (Start == nullptr) {
      continue;
    }
    for (const timeline_event *End :
         Job.Events.getAll({event_kind::JobRefused, event_kind::JobFailed})) {
      if (saysNotRun(*End)) {
        Report.add("job " + toString(Id) +
                   " was reported as not run, but started: " + toText(*Start) +
                   ", " + toText(*End) + ".");
      }
    }
  }
}

} // namespace crocuswood::checker
