#include "starts_judge.h"

#include <algorithm>

namespace crocuswood::checker {

namespace {

void judgeTask(const std::string &Name, const event_list &Events,
               report &Report) {
  const auto Starts = Events.getStarts();
  const auto Runs = Events.getAll({event_kind::EndpointRan});
  if (Starts.size() > 1) {
    Report.add(Name + " started more than once: " + toText(*Starts[0]) + ", " +
               toText(*Starts[1]) + ".");
  }
  if (Runs.size() > 1) {
    Report.add(Name + " ran on endpoints more than once: " + toText(*Runs[0]) +
               ", " + toText(*Runs[1]) + ".");
  }
  if (Starts.empty() || Runs.empty()) {
    return;
  }
  // A companion that was killed may have taken its event with it; the endpoint
  // still tells that it ran the task besides.
  for (const timeline_event *Run : Runs) {
    const bool Known = std::any_of(Starts.begin(), Starts.end(),
                                   [Run](const timeline_event *Start) {
                                     return Start->Peer == Run->Process.Name;
                                   });
    if (!Known) {
      Report.add(Name + " started on " + Starts[0]->Peer +
                 " and also ran elsewhere: " + toText(*Starts[0]) + ", " +
                 toText(*Run) + ".");
    }
  }
}

} // namespace

void starts_judge::judge(const history &History, const limits & /*Limits*/,
                         report &Report) const {
  for (const auto &[Id, Job] : History.getJobs()) {
    for (const auto &[Index, Events] : Job.Tasks) {
      judgeTask(toText(Id, Index), Events, Report);
    }
  }
}

} // namespace crocuswood::checker
