#include "input_parser.h"

#include "load_generator.h"

#include <crocuswood/config.h>

#include <algorithm>
#include <map>
#include <utility>

namespace crocuswood::replay {

namespace {

bool isEntry(const trace_header &Header, const std::string &Name) {
  return std::ranges::any_of(
      Header.Entries, [&Name](const auto &Each) { return Each.Name == Name; });
}

bool isCompanion(const trace_header &Header, const std::string &Name) {
  return std::ranges::any_of(Header.Companions, [&Name](const auto &Each) {
    return Each.Name == Name;
  });
}

bool isEndpoint(const trace_header &Header, const std::string &Name) {
  return std::ranges::any_of(Header.Companions, [&Name](const auto &Each) {
    return Each.Endpoint == Name;
  });
}

std::string readProcess(object_reader &Reader, const trace_header &Header) {
  std::string Name = Reader.requireText("what");
  if (!isEntry(Header, Name) && !isCompanion(Header, Name) &&
      !isEndpoint(Header, Name)) {
    Reader.fault("what", "names no process of the fleet");
  }
  return Name;
}

std::string readEndpoint(object_reader &Reader, const trace_header &Header) {
  std::string Name = Reader.requireText("what");
  if (!isEndpoint(Header, Name)) {
    Reader.fault("what", "names no endpoint of the fleet");
  }
  return Name;
}

std::string readEntry(object_reader &Reader, const trace_header &Header) {
  std::string Name = Reader.readText("entry", "");
  if (!Name.empty() && !isEntry(Header, Name)) {
    Reader.fault("entry", "names no entry of the fleet");
  }
  return Name;
}

void parseSubmit(object_reader &Reader, instant At, trace_content &Content) {
  arrival Arrival{.At = At,
                  .Class = Reader.requireText("class"),
                  .Team = Reader.readText("team", "team"),
                  .Key = Reader.readText("key", ""),
                  .Entry = readEntry(Reader, Content.Header),
                  .DeclaredFactor = Reader.readNumber("declared_factor", 0),
                  .Deadline = Reader.findSpan("deadline"),
                  .CancelAfter = Reader.findSpan("cancel_after")};
  const duration RunTime =
      Reader.readSpan("run_time", std::chrono::milliseconds(100));
  const std::uint64_t Tasks = Reader.readCount("tasks", 1);
  if (Tasks == 0 || Tasks > MaxTasksPerJob) {
    Reader.fault("tasks", "must be 1 to " + std::to_string(MaxTasksPerJob));
    return;
  }
  Arrival.RunTimes.assign(Tasks, RunTime);
  const std::uint64_t Count = Reader.readCount("count", 1);
  const duration Every = Reader.readSpan("every", {});
  const std::string Key = Arrival.Key;
  for (std::uint64_t Number = 0; Number < Count; ++Number) {
    if (Count > 1 && !Key.empty()) {
      Arrival.Key = Key + "-" + std::to_string(Number + 1);
    }
    Arrival.At = At + Every * static_cast<std::int64_t>(Number);
    Content.Arrivals.push_back(Arrival);
  }
}

run_time_range parseRunTimes(object_reader &Part) {
  auto Object = Part.findObject("run_time");
  if (!Object) {
    Part.fault("run_time", "is missing");
    return {};
  }
  run_time_range Range{.From = Object->readSpan("from", {}),
                       .To = Object->readSpan("to", {}),
                       .TailShare = Object->readNumber("tail_share", 0),
                       .TailFrom = Object->readSpan("tail_from", {}),
                       .TailTo = Object->readSpan("tail_to", {})};
  if (Range.From <= duration::zero() || Range.To < Range.From) {
    Object->fault("", "needs 0 < from <= to");
  }
  Object->finish();
  return Range;
}

mix_part parsePart(object_reader &Part) {
  mix_part Mix{.Class = Part.requireText("class"),
               .Team = Part.readText("team", "team"),
               .Share = Part.readNumber("share", 1),
               .RunTimes = parseRunTimes(Part),
               .Deadline = Part.findSpan("deadline"),
               .Keyed = Part.readFlag("keyed", false),
               .DeclaredFrom = Part.readNumber("declared_from", 0),
               .DeclaredTo = Part.readNumber("declared_to", 0)};
  Mix.FewestTasks =
      static_cast<std::uint32_t>(Part.readCount("fewest_tasks", 1));
  Mix.MostTasks =
      static_cast<std::uint32_t>(Part.readCount("most_tasks", Mix.FewestTasks));
  if (Mix.FewestTasks == 0 || Mix.MostTasks < Mix.FewestTasks ||
      Mix.MostTasks > MaxTasksPerJob) {
    Part.fault("", "needs 1 <= fewest_tasks <= most_tasks <= " +
                       std::to_string(MaxTasksPerJob));
    Mix.MostTasks = Mix.FewestTasks;
  }
  if (Mix.DeclaredTo > 0 && Mix.DeclaredFrom <= 0) {
    Part.fault("declared_from", "must be above 0 beside declared_to");
  }
  Part.finish();
  return Mix;
}

std::uint32_t countSlots(const trace_header &Header) {
  std::uint32_t Slots = 0;
  for (const companion_description &Companion : Header.Companions) {
    Slots += Companion.Started ? Companion.Offer.Slots : 0;
  }
  return Slots;
}

void parseLoad(object_reader &Reader, instant At, trace_content &Content) {
  load_description Load{.At = At,
                        .Jobs = Reader.readCount("jobs", 0),
                        .Rate = Reader.readNumber("rate", 0),
                        .Load = Reader.readNumber("load", 0),
                        .Seed = Content.Header.Seed * 1'000 + Reader.getLine()};
  for (object_reader &Part : Reader.readObjects("mix")) {
    Load.Mix.push_back(parsePart(Part));
  }
  const std::uint32_t Slots = countSlots(Content.Header);
  if (Load.Mix.empty() || (Load.Rate <= 0 && Load.Load * Slots <= 0)) {
    Reader.fault("", "needs a mix, and a rate or a load on started companions");
    return;
  }
  std::ranges::move(generate(Load, Slots),
                    std::back_inserter(Content.Arrivals));
}

link_fault parseLink(object_reader &Reader) {
  const std::vector<std::string> Modes = {"cut", "silence", "partition",
                                          "delay", "heal"};
  return {.Mode = static_cast<link_mode>(Reader.readChoice("mode", Modes)),
          .First = Reader.readText("from", ""),
          .Second = Reader.readText("to", ""),
          .Span = Reader.readSpan("by", {})};
}

store_fault parseStore(object_reader &Reader) {
  const std::vector<std::string> Modes = {"ok", "down", "slow", "lose_answers"};
  return {.Mode = static_cast<store_mode>(Reader.readChoice("mode", Modes)),
          .Span = Reader.readSpan("by", std::chrono::seconds(2))};
}

endpoint_fault parseEndpoint(object_reader &Reader,
                             const trace_header &Header) {
  const std::vector<std::string> Modes = {"ok", "fails", "slow", "refuses",
                                          "resets"};
  return {.What = readEndpoint(Reader, Header),
          .Mode = static_cast<endpoint_mode>(Reader.readChoice("mode", Modes)),
          .Factor = Reader.readNumber("factor", 1),
          .Class = Reader.readText("class", "")};
}

configure parseConfigure(object_reader &Reader, const trace_header &Header) {
  configure Configure{.Entry = readEntry(Reader, Header)};
  Configure.Change.Id = Reader.requireText("change_id");
  if (Configure.Entry.empty()) {
    Reader.fault("entry", "is missing");
  }
  if (Reader.has("expected_revision")) {
    Configure.Change.ExpectedRevision =
        Reader.readCount("expected_revision", 0);
  }
  const nlohmann::json *Document = Reader.find("class");
  if (Document == nullptr) {
    Reader.fault("class", "is missing");
    return Configure;
  }
  auto Parsed = config::parseClass(Document->dump(), "class");
  if (const auto *Class = std::get_if<class_spec>(&Parsed)) {
    Configure.Change.Operation = config::set_class{*Class};
    return Configure;
  }
  for (const finding &Each : std::get<findings>(Parsed)) {
    Reader.fault("class", toString(Each));
  }
  return Configure;
}

using fault_reader = fault (*)(object_reader &, const trace_header &);

std::map<std::string, fault_reader> makeFaultReaders() {
  return {
      {"kill",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return kill_process{.What = readProcess(Reader, Header),
                             .Quiet = Reader.readFlag("quiet", false)};
       }},
      {"start",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return start_process{readProcess(Reader, Header)};
       }},
      {"freeze",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return freeze_process{readProcess(Reader, Header)};
       }},
      {"thaw",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return thaw_process{readProcess(Reader, Header)};
       }},
      {"stop",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return stop_process{readProcess(Reader, Header)};
       }},
      {"leave",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return leave_endpoint{readEndpoint(Reader, Header)};
       }},
      {"link",
       [](object_reader &Reader, const trace_header & /*Header*/) -> fault {
         return parseLink(Reader);
       }},
      {"store",
       [](object_reader &Reader, const trace_header & /*Header*/) -> fault {
         return parseStore(Reader);
       }},
      {"endpoint",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return parseEndpoint(Reader, Header);
       }},
      {"configure",
       [](object_reader &Reader, const trace_header &Header) -> fault {
         return parseConfigure(Reader, Header);
       }},
      {"cancel",
       [](object_reader &Reader, const trace_header & /*Header*/) -> fault {
         return cancel_wave{Reader.readNumber("share", 1)};
       }},
  };
}

} // namespace

void parseInput(object_reader &Reader, trace_content &Content) {
  const instant At{Reader.readSpan("at", {})};
  const std::string What = Reader.requireText("do");
  const auto Readers = makeFaultReaders();
  const auto Fault = Readers.find(What);
  if (What == "submit") {
    parseSubmit(Reader, At, Content);
  } else if (What == "load") {
    parseLoad(Reader, At, Content);
  } else if (Fault != Readers.end()) {
    Content.Faults.push_back({.At = At,
                              .Fault = Fault->second(Reader, Content.Header),
                              .Line = Reader.getLine()});
  } else {
    Reader.fault("do", "is no input that a trace can have");
    return;
  }
  Reader.finish();
}

void parseExpectation(object_reader &Reader, trace_content &Content) {
  expectation Expectation{.Metric = Reader.requireText("expect"),
                          .Class = Reader.readText("class", "")};
  if (const auto *Value = Reader.find("is")) {
    if (Value->is_string()) {
      Expectation.Is = Value->get<std::string>();
    } else {
      const double Number = Reader.readNumber("is", 0);
      Expectation.AtLeast = Number;
      Expectation.AtMost = Number;
    }
  }
  if (Reader.has("at_least")) {
    Expectation.AtLeast = Reader.readNumber("at_least", 0);
  }
  if (Reader.has("at_most")) {
    Expectation.AtMost = Reader.readNumber("at_most", 0);
  }
  if (Expectation.Is.empty() && !Expectation.AtLeast && !Expectation.AtMost) {
    Reader.fault("", "needs is, at_least or at_most");
  }
  Reader.finish();
  Content.Expectations.push_back(std::move(Expectation));
}

} // namespace crocuswood::replay
