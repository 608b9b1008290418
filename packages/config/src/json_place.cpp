#include "json_place.h"

#include <algorithm>
#include <set>
#include <vector>

namespace crocuswood::config {

namespace {

// No document needs more, and the library's time grows with the square of the
// depth.
constexpr int MaxDepth = 16;

// Leaves the library's parser.
struct nested_too_deep {};

finding faultAtByte(std::string_view Text, std::size_t Byte,
                    const std::string &Source, std::string Message) {
  const std::string_view Before =
      Text.substr(0, std::min(Byte == 0 ? 0 : Byte - 1, Text.size()));
  const auto Lines = std::count(Before.begin(), Before.end(), '\n');
  const std::size_t LineStart = Before.rfind('\n');
  const std::size_t Column = LineStart == std::string_view::npos
                                 ? Before.size()
                                 : Before.size() - LineStart - 1;
  return {.Source = Source,
          .Line = static_cast<std::uint32_t>(Lines + 1),
          .Column = static_cast<std::uint32_t>(Column + 1),
          .Message = std::move(Message)};
}

// Notes the keys that stand twice in one object, which the library would
// silently merge, and stops at documents that are nested too deep.
class structure_check {
public:
  structure_check(const std::string &Source, findings &Faults)
      : Source(Source), Faults(Faults) {}

  bool operator()(int Depth, nlohmann::json::parse_event_t Event,
                  const nlohmann::json &Parsed) {
    using parse_event = nlohmann::json::parse_event_t;
    if (Event == parse_event::object_start) {
      Keys.emplace_back();
    } else if (Event == parse_event::object_end) {
      Keys.pop_back();
    } else if (Event == parse_event::key &&
               !Keys.back().insert(Parsed).second) {
      Faults.push_back({.Source = Source,
                        .Path = Parsed.get<std::string>(),
                        .Message = "This key stands here a second time."});
    }
    if (Depth > MaxDepth) {
      throw nested_too_deep();
    }
    return true;
  }

private:
  const std::string &Source;
  findings &Faults;
  std::vector<std::set<std::string>> Keys;
};

} // namespace

checked<nlohmann::json> parseDocument(std::string_view Text,
                                      const std::string &Source) {
  findings Faults;
  structure_check Check(Source, Faults);
  nlohmann::json Document;
  try {
    Document = nlohmann::json::parse(Text, std::ref(Check));
  } catch (const nlohmann::json::parse_error &Error) {
    return findings{faultAtByte(Text, Error.byte, Source,
                                "This is not valid JSON from here on.")};
  } catch (const nlohmann::json::exception &Error) {
    return findings{{.Source = Source, .Message = "A number is out of range."}};
  } catch (const nested_too_deep &) {
    return findings{
        {.Source = Source, .Message = "The document is nested too deep."}};
  }
  if (!Faults.empty()) {
    return Faults;
  }
  return Document;
}

} // namespace crocuswood::config
