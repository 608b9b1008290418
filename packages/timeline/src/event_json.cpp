#include "event_reader.h"

#include <crocuswood/timeline.h>

#include <nlohmann/json.hpp>

#include <iterator>
#include <utility>

namespace crocuswood::timeline {

namespace {

void setText(nlohmann::ordered_json &Object, const char *Key,
             const std::string &Value) {
  if (!Value.empty()) {
    Object[Key] = Value;
  }
}

void setIds(nlohmann::ordered_json &Object, const timeline_event &Event) {
  if (Event.Job) {
    Object["job"] = toString(*Event.Job);
  }
  if (Event.Task) {
    Object["task"] = *Event.Task;
  }
}

} // namespace

std::string writeJson(const timeline_event &Event) {
  nlohmann::ordered_json Object;
  Object["time"] = Event.Time.WallMicroseconds;
  if (Event.Time.Counter != 0) {
    Object["counter"] = Event.Time.Counter;
  }
  setText(Object, "process", Event.Process.Name);
  Object["incarnation"] = toString(Event.Process.Incarnation);
  Object["kind"] = toString(Event.Kind);
  setIds(Object, Event);
  setText(Object, "class", Event.Class);
  setText(Object, "team", Event.Team);
  setText(Object, "key", Event.Key);
  setText(Object, "peer", Event.Peer);
  setText(Object, "code", Event.Code);
  setText(Object, "certainty", Event.Certainty);
  setText(Object, "reason", Event.Reason);
  if (Event.Digest != 0) {
    // As text: a JSON number of 64 bits does not survive every reader.
    Object["digest"] = toString(incarnation{Event.Digest});
  }
  if (Event.Value != 0) {
    Object["value"] = Event.Value;
  }
  // Keys and reasons come from outside and may be no valid UTF-8.
  return Object.dump(-1, ' ', false,
                     nlohmann::ordered_json::error_handler_t::replace);
}

checked<timeline_event> parseJson(std::string_view Line,
                                  const std::string &Source,
                                  std::uint32_t LineNumber) {
  nlohmann::json Object;
  try {
    Object = nlohmann::json::parse(Line);
  } catch (const nlohmann::json::parse_error &Error) {
    return findings{{.Source = Source,
                     .Line = LineNumber,
                     .Column = static_cast<std::uint32_t>(Error.byte),
                     .Message = "This line is not valid JSON."}};
  }
  return event_reader(Object, Source, LineNumber).read();
}

checked<std::vector<timeline_event>> parseJsonLines(std::string_view Text,
                                                    const std::string &Source) {
  std::vector<timeline_event> Events;
  findings Faults;
  std::uint32_t LineNumber = 0;
  while (!Text.empty()) {
    ++LineNumber;
    const std::size_t End = Text.find('\n');
    const std::string_view Line = Text.substr(0, End);
    Text.remove_prefix(End == std::string_view::npos ? Text.size() : End + 1);
    if (Line.find_first_not_of(" \t\r") == std::string_view::npos) {
      continue;
    }
    auto Parsed = parseJson(Line, Source, LineNumber);
    if (auto *Found = std::get_if<findings>(&Parsed)) {
      std::move(Found->begin(), Found->end(), std::back_inserter(Faults));
      continue;
    }
    Events.push_back(std::get<timeline_event>(std::move(Parsed)));
  }
  if (!Faults.empty()) {
    return Faults;
  }
  return Events;
}

} // namespace crocuswood::timeline
