#include "end_judge.h"

namespace crocuswood::checker {

namespace {

void judgeJob(const history &History, const limits &Limits, const job_id &Id,
              const job_history &Job, report &Report) {
  const auto Ends =
      Job.Events.getAll({event_kind::JobCompleted, event_kind::JobFailed,
                         event_kind::JobRefused});
  if (Ends.size() > 1) {
    Report.add("job " + toString(Id) + " ended more than once: " +
               toText(*Ends[0]) + ", " + toText(*Ends[1]) + ".");
  }
  const auto Begins =
      Job.Events.getAll({event_kind::JobSubmitted, event_kind::JobAccepted});
  if (!Ends.empty() || Begins.empty() || !Limits.ExpectEnds) {
    return;
  }
  // A resubmission under a held key ends with the stored answer.
  if (Job.Events.has(event_kind::ClaimHeld) &&
      Job.Events.hasAny({event_kind::AnswerSent, event_kind::AnswerDropped})) {
    return;
  }
  // A killed entry takes its jobs with it; their callers see that.
  if (History.isStopped(Begins.back()->Process)) {
    Report.add("job " + toString(Id) +
               " has no end: " + toText(*Begins.back()) + ".");
  }
}

} // namespace

void end_judge::judge(const history &History, const limits &Limits,
                      report &Report) const {
  for (const auto &[Id, Job] : History.getJobs()) {
    judgeJob(History, Limits, Id, Job, Report);
  }
}

} // namespace crocuswood::checker
