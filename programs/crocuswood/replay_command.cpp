#include "replay_command.h"

#include "command_options.h"

#include <crocuswood/replay.h>
#include <crocuswood/timeline.h>

#include <nlohmann/json.hpp>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

using json = nlohmann::json;

command_options describeOptions() {
  command_options Options(
      "replay FILE... [options]",
      "Runs recorded traces through the decisions in virtual time, and "
      "compares\n"
      "what happens with the outcomes that they state. Every promise is "
      "judged\n"
      "as well. It exits with 1 if an outcome differs or a promise is broken.");
  Options.addText("timeline-file",
                  "Write the events of the last trace as JSON lines.");
  Options.addFlag("json", "Print JSON, one object for each trace.");
  Options.setPositional("files", 1, -1);
  return Options;
}

// Runs traces, prints what they give and counts it.
class trace_runner {
public:
  trace_runner(bool AsJson, run_context &Context)
      : AsJson(AsJson), Context(Context) {}

  // \returns whether File could be read and parsed.
  bool run(const std::string &File) {
    const auto Text = Context.Files.read(File);
    if (!Text) {
      Context.Err << "crocuswood: " << File << " can't be read.\n";
      return false;
    }
    const auto Parsed = replay::parse(*Text, File);
    if (const auto *Faults = std::get_if<findings>(&Parsed)) {
      Context.Err << toString(*Faults);
      return false;
    }
    Result = replay::run(std::get<replay::trace>(Parsed), {});
    count();
    if (AsJson) {
      printJson(File);
    } else {
      print(File);
    }
    return true;
  }

  const replay::run_result &getResult() const { return Result; }
  std::size_t getFailed() const { return Failed; }
  void printTotals() const {
    if (AsJson) {
      Context.Out << json({{"passed", Passed}, {"failed", Failed}}).dump()
                  << "\n";
      return;
    }
    Context.Out << Passed << " passed, " << Failed << " failed\n";
  }

private:
  void count() {
    for (const replay::outcome_result &Outcome : Result.Outcomes) {
      ++(Outcome.Passed ? Passed : Failed);
    }
  }

  void print(const std::string &File) const {
    for (const replay::outcome_result &Outcome : Result.Outcomes) {
      Context.Out << (Outcome.Passed ? "passed  " : "FAILED  ") << File << ": "
                  << Outcome.Name << ": expected " << Outcome.Expected
                  << ", seen " << Outcome.Seen << "\n";
    }
    // The verdict itself is one of the outcomes.
    for (const checker::violation &Violation : Result.Verdict.Violations) {
      Context.Out << "        " << toString(Violation.Rule) << ": "
                  << Violation.Message << "\n";
    }
  }

  void printJson(const std::string &File) const {
    json Outcomes = json::array();
    for (const replay::outcome_result &Outcome : Result.Outcomes) {
      Outcomes.push_back({{"name", Outcome.Name},
                          {"expected", Outcome.Expected},
                          {"seen", Outcome.Seen},
                          {"passed", Outcome.Passed}});
    }
    json Violations = json::array();
    for (const checker::violation &Violation : Result.Verdict.Violations) {
      Violations.push_back(
          {{"rule", toString(Violation.Rule)}, {"message", Violation.Message}});
    }
    Context.Out << json({{"trace", File},
                         {"outcomes", std::move(Outcomes)},
                         {"violations", std::move(Violations)}})
                       .dump(-1, ' ', false, json::error_handler_t::replace)
                << "\n";
  }

  bool AsJson;
  run_context &Context;
  replay::run_result Result;
  std::size_t Passed = 0;
  std::size_t Failed = 0;
};

std::string writeLines(const std::vector<timeline_event> &Events) {
  std::string Lines;
  for (const timeline_event &Event : Events) {
    Lines += timeline::writeJson(Event) + "\n";
  }
  return Lines;
}

} // namespace

exit_code replay_command::run(const std::vector<std::string> &Arguments,
                              run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  trace_runner Runner(Values.has("json"), Context);
  bool Faulty = false;
  for (const std::string &File : Values.getTexts("files")) {
    Faulty = !Runner.run(File) || Faulty;
  }
  Runner.printTotals();
  if (Faulty) {
    return exit_code::Usage;
  }
  const std::string TimelineFile = Values.getText("timeline-file");
  if (!TimelineFile.empty() &&
      !Context.Files.write(TimelineFile,
                           writeLines(Runner.getResult().Timeline))) {
    Context.Err << "crocuswood: " << TimelineFile << " can't be written.\n";
    return exit_code::Failed;
  }
  return Runner.getFailed() == 0 ? exit_code::Done : exit_code::Failed;
}

} // namespace crocuswood::command_line
