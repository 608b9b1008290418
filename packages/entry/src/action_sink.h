/// \file
/// Collects the actions that follow from one event.
#pragma once

#include "job.h"

#include <crocuswood/entry.h>

#include <string>
#include <vector>

namespace crocuswood::entry {

/// Holds the current time and the list that actions are appended to.
class action_sink {
public:
  /// Starts a call into the core. \p Actions must live until the next call.
  void begin(instant Now, std::vector<action> &Actions);

  instant now() const { return Time; }

  template <class Action> void push(Action &&Value) {
    Actions->emplace_back(std::forward<Action>(Value));
  }
  void record(timeline_event Event);
  /// Records an event that names only a peer.
  void recordPeer(event_kind Kind, const std::string &Peer,
                  const std::string &Reason = {}, std::int64_t Value = 0);
  /// Records an event that names a task and the companion that has it.
  void recordTask(event_kind Kind, const task_id &Task, const std::string &Peer,
                  const std::string &Reason = {});

private:
  instant Time;
  std::vector<action> *Actions = nullptr;
};

} // namespace crocuswood::entry
