#include "header_parser.h"
#include "input_parser.h"
#include "object_reader.h"
#include "trace_content.h"

#include <crocuswood/replay.h>

#include <algorithm>

namespace crocuswood::replay {

namespace {

class trace_parser {
public:
  explicit trace_parser(const std::string &Source) : Faults{.Source = Source} {}

  void parse(std::string_view Text) {
    std::uint32_t Line = 0;
    while (!Text.empty()) {
      const std::size_t End = std::min(Text.find('\n'), Text.size());
      parseLine(Text.substr(0, End), ++Line);
      Text.remove_prefix(std::min(End + 1, Text.size()));
    }
    if (!HasHeader) {
      Faults.Findings.push_back(
          {.Source = Faults.Source, .Message = "the trace has no header"});
    }
  }

  checked<trace> take() {
    if (!Faults.Findings.empty()) {
      return std::move(Faults.Findings);
    }
    std::ranges::stable_sort(Content.Arrivals, {}, &arrival::At);
    std::ranges::stable_sort(Content.Faults, {}, &timed_fault::At);
    return trace(std::make_shared<const trace_content>(std::move(Content)));
  }

private:
  void parseLine(std::string_view Line, std::uint32_t Number) {
    if (Line.find_first_not_of(" \t\r") == std::string_view::npos) {
      return;
    }
    const auto Object = nlohmann::json::parse(Line, nullptr, false);
    if (Object.is_discarded()) {
      Faults.Findings.push_back({.Source = Faults.Source,
                                 .Line = Number,
                                 .Message = "is no JSON object"});
      return;
    }
    object_reader Reader(Object, Faults, Number, "");
    if (Reader.has("trace")) {
      parseTraceHeader(Reader);
    } else if (!HasHeader) {
      Reader.fault("trace", "the header must come first");
    } else if (Reader.has("expect")) {
      parseExpectation(Reader, Content);
    } else if (!Reader.has("comment")) {
      parseInput(Reader, Content);
    }
  }

  void parseTraceHeader(object_reader &Reader) {
    if (HasHeader) {
      Reader.fault("trace", "a trace has one header");
      return;
    }
    HasHeader = true;
    Content.Header = parseHeader(Reader, Faults);
  }

  fault_list Faults;
  trace_content Content;
  bool HasHeader = false;
};

} // namespace

checked<trace> parse(std::string_view Text, const std::string &Source) {
  trace_parser Parser(Source);
  Parser.parse(Text);
  return Parser.take();
}

} // namespace crocuswood::replay
