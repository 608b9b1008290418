#include "key_groups.h"

namespace crocuswood::checker {

key_groups groupByKey(const history &History) {
  key_groups Groups;
  for (const auto &[Id, Job] : History.getJobs()) {
    const timeline_event *Submitted = Job.Events.find(event_kind::JobSubmitted);
    if (Submitted != nullptr && !Submitted->Key.empty()) {
      Groups[{.Team = Submitted->Team, .Key = Submitted->Key}].push_back(Id);
    }
  }
  return Groups;
}

} // namespace crocuswood::checker
