#include "action_sink.h"

namespace crocuswood::entry {

void action_sink::begin(instant Now, std::vector<action> &ActionList) {
  Time = Now;
  Actions = &ActionList;
}

void action_sink::record(timeline_event Event) {
  action &Added = Actions->emplace_back(std::in_place_type<record_event>);
  std::get<record_event>(Added).Event = std::move(Event);
}

void action_sink::recordPeer(event_kind Kind, const std::string &Peer,
                             const std::string &Reason, std::int64_t Value) {
  record({.Kind = Kind, .Peer = Peer, .Reason = Reason, .Value = Value});
}

void action_sink::recordTask(event_kind Kind, const task_id &Task,
                             const std::string &Peer,
                             const std::string &Reason) {
  record({.Kind = Kind,
          .Job = Task.Job,
          .Task = Task.Index,
          .Peer = Peer,
          .Reason = Reason});
}

} // namespace crocuswood::entry
