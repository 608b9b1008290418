#include "random_stream.h"

#include <crocuswood/replay.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace crocuswood::replay {

namespace {

using json = nlohmann::json;

constexpr std::uint64_t FirstFaultMs = 3'000;
constexpr std::uint64_t FaultSpanMs = 9'000;
/// Every fault has ended by then.
constexpr std::uint64_t CalmMs = 26'000;

std::string writeMs(std::uint64_t Milliseconds) {
  return std::to_string(Milliseconds) + "ms";
}

json makeClass(const std::string &Name, bool Idempotent) {
  return {{"name", Name},
          {"answer_within", "2s"},
          {"quantile", 0.99},
          {"refuse_at_most", 0.1},
          {"idempotent", Idempotent}};
}

// Draws a fleet, a load and faults that all end in time.
class schedule_generator {
public:
  explicit schedule_generator(std::uint64_t Seed)
      : Seed(Seed), Random(Seed), Entries(1 + Random.below(3)),
        Companions(1 + Random.below(4)) {}

  std::string make() {
    addHeader();
    addLoads();
    const std::uint64_t Faults = 1 + Random.below(8);
    for (std::uint64_t Number = 0; Number < Faults; ++Number) {
      addFault();
    }
    addCalm();
    return Text;
  }

private:
  void add(const json &Line) { Text += Line.dump() + "\n"; }

  void addHeader() {
    const json Zones = {"bassano", "cittadella", "marostica"};
    const json Classes = {"pivot-check", "dial-sweep", "sale"};
    add({{"trace", "random-" + std::to_string(Seed)},
         {"seed", Seed},
         {"clock_skew", Random.below(2) == 0 ? "0ms" : "300ms"},
         {"resubmissions", 400},
         {"fleet",
          {{"entries", {{{"count", Entries}, {"zones", Zones}}}},
           {"companions",
            {{{"count", Companions},
              {"zones", Zones},
              {"slots", 1 + Random.below(4)},
              {"classes", Classes}}}}}},
         {"configuration",
          {{"revision", 1},
           {"change_id", "first"},
           {"classes",
            {makeClass("pivot-check", true), makeClass("dial-sweep", true),
             makeClass("sale", false)}},
           {"teams", {{{"name", "team"}}}}}}});
  }

  void addLoads() {
    const double Load = Random.between(0.2, 1.4);
    add({{"at", "2500ms"},
         {"do", "load"},
         {"jobs", 40 + Random.below(120)},
         {"load", std::max(0.1, Load)},
         {"mix",
          {{{"class", "pivot-check"},
            {"share", 0.5},
            {"run_time", {{"from", "20ms"}, {"to", "400ms"}}}},
           {{"class", "dial-sweep"},
            {"share", 0.2},
            {"fewest_tasks", 2},
            {"most_tasks", 12},
            {"run_time",
             {{"from", "20ms"},
              {"to", "400ms"},
              {"tail_share", 0.02},
              {"tail_from", "1s"},
              {"tail_to", "4s"}}}},
           {{"class", "sale"},
            {"share", 0.3},
            {"keyed", true},
            {"run_time", {{"from", "20ms"}, {"to", "200ms"}}}}}}});
  }

  std::string drawEntry() {
    return "entry-" + std::to_string(1 + Random.below(Entries));
  }
  std::string drawNumbered(const std::string &Role) {
    return Role + std::to_string(1 + Random.below(Companions));
  }
  std::string drawDaemon() {
    return Random.below(2) == 0 ? drawEntry() : drawNumbered("companion-");
  }

  void addFault() {
    const std::uint64_t At = FirstFaultMs + Random.below(FaultSpanMs);
    const std::uint64_t Span = 20 + Random.below(Random.below(12'000) + 1);
    const std::string From = writeMs(At);
    const std::string Until = writeMs(At + Span);
    switch (Random.below(10)) {
    case 0:
    case 1:
      return addLife(From, Until);
    case 2:
      return addFreeze(From, Until);
    case 3:
    case 4:
      return addLinkFault(From, Until);
    case 5:
      return addStoreFault(From, Until);
    case 6:
      return addEndpointFault(From, Until);
    case 7:
      return addStop(From);
    case 8:
      return addChanges(From);
    default:
      add({{"at", From}, {"do", "cancel"}, {"share", Random.unit()}});
    }
  }

  void addLife(const std::string &From, const std::string &Until) {
    const std::string What =
        Random.below(4) == 0 ? drawNumbered("runner-") : drawDaemon();
    add({{"at", From},
         {"do", "kill"},
         {"what", What},
         {"quiet", Random.below(2) == 0}});
    add({{"at", Until}, {"do", "start"}, {"what", What}});
  }

  void addFreeze(const std::string &From, const std::string &Until) {
    const std::string What =
        Random.below(3) == 0 ? drawNumbered("runner-") : drawDaemon();
    add({{"at", From}, {"do", "freeze"}, {"what", What}});
    add({{"at", Until}, {"do", "thaw"}, {"what", What}});
  }

  void addLinkFault(const std::string &From, const std::string &Until) {
    static const std::vector<std::string> Modes = {"cut", "silence", "silence",
                                                   "partition", "delay"};
    const std::string Mode = Modes[Random.below(Modes.size())];
    json Fault = {{"at", From}, {"do", "link"}, {"mode", Mode}};
    json Heal = {{"at", Until}, {"do", "link"}, {"mode", "heal"}};
    if (Random.below(3) != 0) {
      Fault["from"] = Heal["from"] = drawDaemon();
    }
    if (Mode == "delay") {
      Fault["by"] = writeMs(1 + Random.below(1'500));
    }
    add(Fault);
    add(Heal);
  }

  void addStoreFault(const std::string &From, const std::string &Until) {
    static const std::vector<std::string> Modes = {"down", "slow",
                                                   "lose_answers"};
    add({{"at", From},
         {"do", "store"},
         {"mode", Modes[Random.below(Modes.size())]},
         {"by", writeMs(50 + Random.below(2'000))}});
    add({{"at", Until}, {"do", "store"}, {"mode", "ok"}});
  }

  void addEndpointFault(const std::string &From, const std::string &Until) {
    static const std::vector<std::string> Modes = {"fails", "slow", "refuses",
                                                   "resets"};
    const std::string What = drawNumbered("runner-");
    add({{"at", From},
         {"do", "endpoint"},
         {"what", What},
         {"mode", Modes[Random.below(Modes.size())]},
         {"factor", 1 + Random.below(10)}});
    add({{"at", Until}, {"do", "endpoint"}, {"what", What}, {"mode", "ok"}});
  }

  void addStop(const std::string &From) {
    if (Random.below(3) == 0) {
      add({{"at", From}, {"do", "leave"}, {"what", drawNumbered("runner-")}});
      return;
    }
    add({{"at", From}, {"do", "stop"}, {"what", drawDaemon()}});
  }

  void addChanges(const std::string &From) {
    for (int Number = 0; Number < 2; ++Number) {
      add({{"at", From},
           {"do", "configure"},
           {"entry", drawEntry()},
           {"change_id", "change-" + std::to_string(Random.below(1'000'000))},
           {"class", makeClass("pivot-check", true)}});
    }
  }

  // Starts whatever has ended, thaws and heals, so that everything can end.
  void addCalm() {
    const std::string At = writeMs(CalmMs);
    add({{"at", At}, {"do", "link"}, {"mode", "heal"}});
    for (std::uint64_t Number = 1; Number <= Entries; ++Number) {
      add({{"at", At},
           {"do", "start"},
           {"what", "entry-" + std::to_string(Number)}});
    }
    for (std::uint64_t Number = 1; Number <= Companions; ++Number) {
      for (const char *Role : {"companion-", "runner-"}) {
        add({{"at", At},
             {"do", "start"},
             {"what", Role + std::to_string(Number)}});
      }
    }
  }

  std::uint64_t Seed;
  random_stream Random;
  std::uint64_t Entries;
  std::uint64_t Companions;
  std::string Text;
};

std::vector<std::string> splitLines(const std::string &Text) {
  std::vector<std::string> Lines;
  std::size_t From = 0;
  while (From < Text.size()) {
    const std::size_t End = std::min(Text.find('\n', From), Text.size());
    Lines.push_back(Text.substr(From, End - From));
    From = End + 1;
  }
  return Lines;
}

std::string joinLines(const std::vector<std::string> &Lines) {
  std::string Text;
  for (const std::string &Line : Lines) {
    Text += Line + "\n";
  }
  return Text;
}

// Without these a fault would last for ever, which is another failure.
bool endsFaults(const std::string &Line) {
  static const std::vector<std::string> Ends = {"\"start\"", "\"thaw\"",
                                                "\"heal\"", "\"mode\":\"ok\""};
  return std::ranges::any_of(Ends, [&Line](const std::string &End) {
    return Line.find(End) != std::string::npos;
  });
}

} // namespace

std::string generate(std::uint64_t Seed) {
  return schedule_generator(Seed).make();
}

std::string shrink(std::string Text,
                   const std::function<bool(const std::string &)> &Fails) {
  std::vector<std::string> Lines = splitLines(Text);
  bool Shrunk = true;
  while (Shrunk) {
    Shrunk = false;
    // The header stays.
    for (std::size_t Index = Lines.size(); Index-- > 1;) {
      if (endsFaults(Lines[Index])) {
        continue;
      }
      std::vector<std::string> Fewer = Lines;
      Fewer.erase(Fewer.begin() + static_cast<std::ptrdiff_t>(Index));
      if (Fails(joinLines(Fewer))) {
        Lines = std::move(Fewer);
        Shrunk = true;
      }
    }
  }
  return joinLines(Lines);
}

} // namespace crocuswood::replay
