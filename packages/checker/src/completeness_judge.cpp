#include "completeness_judge.h"

namespace crocuswood::checker {

namespace {

class job_completeness {
public:
  job_completeness(const job_id &Id, const job_history &Job, report &Report)
      : Id(Id), Job(Job), Report(Report) {}

  void judge() {
    const timeline_event *Completed = Job.Events.find(event_kind::JobCompleted);
    const timeline_event *Submitted = Job.Events.find(event_kind::JobSubmitted);
    if (Completed == nullptr) {
      return;
    }
    if (Submitted == nullptr) {
      return; // The bounded store of its process has dropped its beginning.
    }
    if (isStoredAnswer()) {
      return;
    }
    for (std::int64_t Index = 0; Index < Submitted->Value; ++Index) {
      judgeTask(static_cast<std::uint32_t>(Index), *Completed);
    }
  }

private:
  // The answer of the attempt that holds the key, given once more.
  bool isStoredAnswer() const {
    return Job.Events.has(event_kind::ClaimHeld) &&
           !Job.Events.has(event_kind::ClaimConfirmed);
  }

  void judgeTask(std::uint32_t Index, const timeline_event &Completed) {
    const std::string Name = toText(Id, Index);
    const auto Position = Job.Tasks.find(Index);
    static const event_list None;
    const event_list &Events =
        Position == Job.Tasks.end() ? None : Position->second;
    const auto Taken = Events.getAll({event_kind::TaskResultTaken});
    if (Taken.empty() || Completed.Time < Taken.front()->Time) {
      Report.add("job " + toString(Id) + " completed without a result of " +
                 Name + ": " + toText(Completed) + ".");
    }
    if (Taken.size() > 1) {
      Report.add("two results of " + Name + " were taken: " +
                 toText(*Taken[0]) + ", " + toText(*Taken[1]) + ".");
    }
    const auto Bad =
        Events.getAll({event_kind::TaskFailed, event_kind::TaskLost});
    if (!Bad.empty()) {
      Report.add("job " + toString(Id) + " completed although " + Name +
                 " did not: " + toText(*Bad.front()) + ", " +
                 toText(Completed) + ".");
    }
  }

  const job_id &Id;
  const job_history &Job;
  report &Report;
};

} // namespace

void completeness_judge::judge(const history &History,
                               const limits & /*Limits*/,
                               report &Report) const {
  for (const auto &[Id, Job] : History.getJobs()) {
    job_completeness(Id, Job, Report).judge();
  }
}

} // namespace crocuswood::checker
