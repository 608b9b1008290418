/// \file
/// Events about one thing, in the order of the time line.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <initializer_list>
#include <vector>

namespace crocuswood::checker {

/// Refers to events of a time line that outlives it.
class event_list {
public:
  void add(const timeline_event &Event) { Events.push_back(&Event); }

  /// \returns the events of one of \p Kinds.
  std::vector<const timeline_event *>
  getAll(std::initializer_list<event_kind> Kinds) const;
  /// \returns the first event of \p Kind, or nullptr.
  const timeline_event *find(event_kind Kind) const;
  bool has(event_kind Kind) const { return find(Kind) != nullptr; }
  bool hasAny(std::initializer_list<event_kind> Kinds) const {
    return !getAll(Kinds).empty();
  }
  const std::vector<const timeline_event *> &get() const { return Events; }
  /// \returns the starts of a task, but for those that its companion took back
  /// afterwards because it had not reached the endpoint. What the endpoint
  /// itself tells is judged besides.
  std::vector<const timeline_event *> getStarts() const;

private:
  std::vector<const timeline_event *> Events;
};

/// \returns the kind, the process and the time of \p Event.
std::string toText(const timeline_event &Event);
/// \returns `task INDEX of job ID`.
std::string toText(const job_id &Job, std::uint32_t Task);

} // namespace crocuswood::checker
