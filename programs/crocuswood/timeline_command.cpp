#include "timeline_command.h"

#include "command_options.h"
#include "event_gatherer.h"

#include <crocuswood/timeline.h>

#include <ostream>

namespace crocuswood::command_line {

namespace {

command_options describeOptions() {
  command_options Options(
      "timeline [--job ID] [options]",
      "Prints the events that the processes keep in memory, in causal order.\n"
      "It exits with 3 if a process gave no answer; the rest is printed.");
  Options.addOperators();
  Options.addText("job", "Only the events of this job.");
  Options.addText("trace-file",
                  "Write a file for a trace viewer instead of lines.");
  Options.addFlag("json", "Print JSON lines, as the command check reads them.");
  return Options;
}

void print(const std::vector<timeline_event> &Events, bool AsJson,
           std::ostream &Out) {
  for (const timeline_event &Event : Events) {
    Out << (AsJson ? timeline::writeJson(Event) : timeline::describe(Event))
        << "\n";
  }
}

} // namespace

exit_code timeline_command::run(const std::vector<std::string> &Arguments,
                                run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const auto Job = parseJobId(Values.getText("job"));
  if (Values.has("job") && !Job) {
    return Options.reportUsage(Context, "'" + Values.getText("job") +
                                            "' is not a job id.");
  }
  const auto Entry = Options.findOperators(Values, Context);
  if (!Entry) {
    return exit_code::Usage;
  }
  auto Result = gatherEvents(operators_api(Context.Http, *Entry), Job, Context);
  if (const auto *Failure = std::get_if<api_failure>(&Result)) {
    Context.Err << "crocuswood: " << Failure->Message << "\n";
    return Failure->Code;
  }
  const gathered_events &Gathered = std::get<gathered_events>(Result);
  const std::string TraceFile = Values.getText("trace-file");
  if (TraceFile.empty()) {
    print(Gathered.Events, Values.has("json"), Context.Out);
  } else if (!Context.Files.write(
                 TraceFile, timeline::writeTraceEvents(Gathered.Events))) {
    Context.Err << "crocuswood: " << TraceFile << " can't be written.\n";
    return exit_code::Failed;
  }
  return Gathered.Complete ? exit_code::Done : exit_code::Unreachable;
}

} // namespace crocuswood::command_line
