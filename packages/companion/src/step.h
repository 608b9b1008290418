/// \file
/// The event at hand: its time and the actions that follow from it.
#pragma once

#include <crocuswood/companion.h>

#include <utility>
#include <vector>

namespace crocuswood::companion {

/// Passed down while one event is handled.
struct step {
  instant Now;
  std::vector<action> &Actions;

  void record(timeline_event Event) const {
    Actions.emplace_back(record_event{.Event = std::move(Event)});
  }
};

/// \returns an event about \p Task.
inline timeline_event makeEvent(event_kind Kind, const task_id &Task) {
  timeline_event Event;
  Event.Kind = Kind;
  Event.Job = Task.Job;
  Event.Task = Task.Index;
  return Event;
}

/// \returns an event about the other process or endpoint \p Peer.
inline timeline_event makeEvent(event_kind Kind, const std::string &Peer) {
  timeline_event Event;
  Event.Kind = Kind;
  Event.Peer = Peer;
  return Event;
}

} // namespace crocuswood::companion
