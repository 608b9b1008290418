#include "key_judge.h"

#include "key_groups.h"

namespace crocuswood::checker {

void key_judge::judge(const history &History, const limits & /*Limits*/,
                      report &Report) const {
  for (const auto &[Key, Jobs] : groupByKey(History)) {
    const timeline_event *First = nullptr;
    for (const job_id &Id : Jobs) {
      const timeline_event *Start = History.getJobs().at(Id).findStart();
      if (Start == nullptr) {
        continue;
      }
      if (First == nullptr) {
        First = Start;
        continue;
      }
      Report.add("key '" + Key.Key + "' of team " + Key.Team + " ran in job " +
                 toString(*First->Job) + " and in job " + toString(Id) + ": " +
                 toText(*First) + ", " + toText(*Start) + ".");
    }
  }
}

} // namespace crocuswood::checker
