#include "revision_order_judge.h"

namespace crocuswood::checker {

void revision_order_judge::judge(const history &History,
                                 const limits & /*Limits*/,
                                 report &Report) const {
  for (const auto &[Process, Events] : History.getProcesses()) {
    const timeline_event *Last = nullptr;
    for (const timeline_event *Event :
         Events.getAll({event_kind::ConfigurationInForce})) {
      if (Last != nullptr && Event->Value < Last->Value) {
        Report.add(Process.Name + " went from revision " +
                   std::to_string(Last->Value) + " to " +
                   std::to_string(Event->Value) + ": " + toText(*Last) + ", " +
                   toText(*Event) + ".");
      }
      Last = Event;
    }
  }
}

} // namespace crocuswood::checker
