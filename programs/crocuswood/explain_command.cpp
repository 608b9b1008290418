#include "explain_command.h"

#include "command_options.h"
#include "event_gatherer.h"

#include <crocuswood/timeline.h>

#include <algorithm>
#include <ostream>

namespace crocuswood::command_line {

namespace {

command_options describeOptions() {
  command_options Options(
      "explain JOB [options]",
      "Tells in sentences why a job waited, where its tasks ran, and why it\n"
      "was refused or failed. The id of a job stands in its answer. It exits\n"
      "with 1 if no event of the job is known.");
  Options.addOperators();
  Options.setPositional("job", 1, 1);
  return Options;
}

} // namespace

exit_code explain_command::run(const std::vector<std::string> &Arguments,
                               run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const std::string Text = Values.getTexts("job").front();
  const auto Job = parseJobId(Text);
  if (!Job) {
    return Options.reportUsage(Context, "'" + Text + "' is not a job id.");
  }
  const auto Entry = Options.findOperators(Values, Context);
  if (!Entry) {
    return exit_code::Usage;
  }
  // All events, since those of links and endpoints tell why a job waited.
  auto Result =
      gatherEvents(operators_api(Context.Http, *Entry), std::nullopt, Context);
  if (const auto *Failure = std::get_if<api_failure>(&Result)) {
    Context.Err << "crocuswood: " << Failure->Message << "\n";
    return Failure->Code;
  }
  const gathered_events &Gathered = std::get<gathered_events>(Result);
  for (const std::string &Sentence : timeline::explain(Gathered.Events, *Job)) {
    Context.Out << Sentence << "\n";
  }
  if (!Gathered.Complete) {
    return exit_code::Unreachable;
  }
  const bool Known = std::any_of(
      Gathered.Events.begin(), Gathered.Events.end(),
      [&](const timeline_event &Event) { return Event.Job == Job; });
  return Known ? exit_code::Done : exit_code::Failed;
}

} // namespace crocuswood::command_line
