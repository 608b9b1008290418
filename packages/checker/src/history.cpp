#include "history.h"

namespace crocuswood::checker {

bool job_history::hasStarts() const { return findStart() != nullptr; }

const timeline_event *job_history::findStart() const {
  for (const auto &Entry : Tasks) {
    const auto Starts = Entry.second.getStarts();
    if (!Starts.empty()) {
      return Starts.front();
    }
    if (const auto *Run = Entry.second.find(event_kind::EndpointRan)) {
      return Run;
    }
  }
  return nullptr;
}

history::history(const std::vector<timeline_event> &Events) : Events(Events) {
  for (const timeline_event &Event : Events) {
    Processes[Event.Process].add(Event);
    if (!Event.Job) {
      continue;
    }
    job_history &Job = Jobs[*Event.Job];
    if (Event.Task) {
      Job.Tasks[*Event.Task].add(Event);
    } else {
      Job.Events.add(Event);
    }
  }
}

const event_list &history::getEventsOf(const process_id &Process) const {
  static const event_list None;
  const auto Position = Processes.find(Process);
  return Position == Processes.end() ? None : Position->second;
}

} // namespace crocuswood::checker
