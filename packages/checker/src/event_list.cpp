#include "event_list.h"

#include <algorithm>

namespace crocuswood::checker {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
constexpr std::size_t FractionDigits = 6;

} // namespace

std::vector<const timeline_event *>
event_list::getAll(std::initializer_list<event_kind> Kinds) const {
  std::vector<const timeline_event *> Found;
  for (const timeline_event *Event : Events) {
    if (std::find(Kinds.begin(), Kinds.end(), Event->Kind) != Kinds.end()) {
      Found.push_back(Event);
    }
  }
  return Found;
}

const timeline_event *event_list::find(event_kind Kind) const {
  const auto Position = std::find_if(
      Events.begin(), Events.end(),
      [Kind](const timeline_event *Event) { return Event->Kind == Kind; });
  return Position == Events.end() ? nullptr : *Position;
}

std::vector<const timeline_event *> event_list::getStarts() const {
  static const std::string Unreachable =
      toString(not_started_reason::Unreachable);
  std::vector<const timeline_event *> Starts;
  for (const timeline_event *Event : Events) {
    if (Event->Kind == event_kind::TaskStarted) {
      Starts.push_back(Event);
      continue;
    }
    if (Event->Kind == event_kind::TaskNotStarted &&
        Event->Code == Unreachable && !Starts.empty() &&
        Starts.back()->Process == Event->Process) {
      Starts.pop_back();
    }
  }
  return Starts;
}

std::string toText(const timeline_event &Event) {
  const std::int64_t Wall = Event.Time.WallMicroseconds;
  const std::string Fraction = std::to_string(Wall % MicrosecondsPerSecond);
  const std::string Zeros(
      FractionDigits - std::min(Fraction.size(), FractionDigits), '0');
  return std::string(toString(Event.Kind)) + " by " + Event.Process.Name +
         " at " + std::to_string(Wall / MicrosecondsPerSecond) + "." + Zeros +
         Fraction;
}

std::string toText(const job_id &Job, std::uint32_t Task) {
  return "task " + std::to_string(Task) + " of job " + toString(Job);
}

} // namespace crocuswood::checker
