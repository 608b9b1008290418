#include "event_reader.h"

#include <limits>
#include <utility>

namespace crocuswood::timeline {

event_reader::event_reader(const nlohmann::json &Object, std::string Source,
                           std::uint32_t LineNumber)
    : Object(Object), Source(std::move(Source)), LineNumber(LineNumber) {}

checked<timeline_event> event_reader::read() {
  timeline_event Event;
  if (!Object.is_object()) {
    fault("", "An event must be a JSON object.");
    return Faults;
  }
  readKind(Event);
  readNumber("time", Event.Time.WallMicroseconds, true);
  readNumber("counter", Event.Time.Counter);
  readIds(Event);
  readText("class", Event.Class);
  readText("team", Event.Team);
  readText("key", Event.Key);
  readText("peer", Event.Peer);
  readText("code", Event.Code);
  readText("reason", Event.Reason);
  readText("certainty", Event.Certainty);
  readNumber("value", Event.Value);
  if (!Faults.empty()) {
    return Faults;
  }
  return Event;
}

void event_reader::readKind(timeline_event &Event) {
  const nlohmann::json *Value = find("kind", true);
  if (Value == nullptr) {
    return;
  }
  const auto Kind = Value->is_string()
                        ? parseEventKind(Value->get_ref<const std::string &>())
                        : std::nullopt;
  if (!Kind) {
    fault("kind", "No event kind has this name.");
    return;
  }
  Event.Kind = *Kind;
}

void event_reader::readIds(timeline_event &Event) {
  readText("process", Event.Process.Name);
  std::string Text;
  readText("incarnation", Text);
  if (const auto Value = parseIncarnation(Text)) {
    Event.Process.Incarnation = *Value;
  } else if (!Text.empty()) {
    fault("incarnation", "Sixteen hexadecimal digits are expected.");
  }
  Text.clear();
  readText("job", Text);
  Event.Job = parseJobId(Text);
  if (!Text.empty() && !Event.Job) {
    fault("job", "This is not a job id.");
  }
  Text.clear();
  readText("digest", Text);
  if (const auto Value = parseIncarnation(Text)) {
    Event.Digest = static_cast<std::uint64_t>(*Value);
  } else if (!Text.empty()) {
    fault("digest", "Sixteen hexadecimal digits are expected.");
  }
  if (Object.contains("task")) {
    std::uint32_t Task = 0;
    readNumber("task", Task);
    Event.Task = Task;
  }
}

void event_reader::readText(const char *Key, std::string &Target) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_string()) {
    fault(Key, "A text is expected.");
    return;
  }
  Target = Value->get<std::string>();
}

template <class Number>
void event_reader::readNumber(const char *Key, Number &Target, bool Required) {
  const nlohmann::json *Value = find(Key, Required);
  if (Value == nullptr) {
    return;
  }
  const bool Fits =
      Value->is_number_unsigned()
          ? Value->get<std::uint64_t>() <=
                static_cast<std::uint64_t>(std::numeric_limits<Number>::max())
          : Value->is_number_integer() &&
                std::numeric_limits<Number>::is_signed;
  if (!Fits) {
    fault(Key, "An integer in the range of this field is expected.");
    return;
  }
  Target = Value->get<Number>();
}

const nlohmann::json *event_reader::find(const char *Key, bool Required) {
  const auto Position = Object.find(Key);
  if (Position != Object.end()) {
    return &*Position;
  }
  if (Required) {
    fault(Key, "This field is missing.");
  }
  return nullptr;
}

void event_reader::fault(const char *Key, std::string Message) {
  Faults.push_back({.Source = Source,
                    .Line = LineNumber,
                    .Path = Key,
                    .Message = std::move(Message)});
}

} // namespace crocuswood::timeline
