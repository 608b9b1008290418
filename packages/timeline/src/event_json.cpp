#include "event_reader.h"

#include <crocuswood/timeline.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iterator>
#include <utility>

namespace crocuswood::timeline {

namespace {

// Longer than most lines, so that the text grows once.
constexpr std::size_t ExpectedLength = 256;

bool isPlain(char Letter) {
  return Letter >= ' ' && Letter <= '~' && Letter != '"' && Letter != '\\';
}

// Builds one object. A time line has several events for each task, so most
// texts are copied as they are; the library only quotes the others.
class line_writer {
public:
  line_writer() { Line.reserve(ExpectedLength); }

  void addText(std::string_view Key, std::string_view Value) {
    addKey(Key);
    if (!std::all_of(Value.begin(), Value.end(), isPlain)) {
      // Keys and reasons come from outside and may be no valid UTF-8.
      Line += nlohmann::json(Value).dump(
          -1, ' ', false, nlohmann::json::error_handler_t::replace);
      return;
    }
    Line += '"';
    Line += Value;
    Line += '"';
  }
  void addSetText(std::string_view Key, std::string_view Value) {
    if (!Value.empty()) {
      addText(Key, Value);
    }
  }
  template <class Number> void addNumber(std::string_view Key, Number Value) {
    addKey(Key);
    Line += std::to_string(Value);
  }
  std::string finish() {
    Line += '}';
    return std::move(Line);
  }

private:
  void addKey(std::string_view Key) {
    Line += Line.empty() ? "{\"" : ",\"";
    Line += Key;
    Line += "\":";
  }

  std::string Line;
};

} // namespace

std::string writeJson(const timeline_event &Event) {
  line_writer Writer;
  Writer.addNumber("time", Event.Time.WallMicroseconds);
  if (Event.Time.Counter != 0) {
    Writer.addNumber("counter", Event.Time.Counter);
  }
  Writer.addSetText("process", Event.Process.Name);
  Writer.addText("incarnation", toString(Event.Process.Incarnation));
  Writer.addText("kind", toString(Event.Kind));
  if (Event.Job) {
    Writer.addText("job", toString(*Event.Job));
  }
  if (Event.Task) {
    Writer.addNumber("task", *Event.Task);
  }
  Writer.addSetText("class", Event.Class);
  Writer.addSetText("team", Event.Team);
  Writer.addSetText("key", Event.Key);
  Writer.addSetText("peer", Event.Peer);
  Writer.addSetText("code", Event.Code);
  Writer.addSetText("certainty", Event.Certainty);
  Writer.addSetText("reason", Event.Reason);
  if (Event.Digest != 0) {
    // As text: a JSON number of 64 bits does not survive every reader.
    Writer.addText("digest", toString(incarnation{Event.Digest}));
  }
  if (Event.Value != 0) {
    Writer.addNumber("value", Event.Value);
  }
  return Writer.finish();
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
