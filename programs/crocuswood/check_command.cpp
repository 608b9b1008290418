#include "check_command.h"

#include "command_options.h"
#include "verdict_report.h"

#include <crocuswood/checker.h>
#include <crocuswood/timeline.h>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

command_options describeOptions() {
  command_options Options(
      "check FILE... [options]",
      "Merges time line files (JSON lines) and judges every promise. It exits\n"
      "with 1 if one is broken. A process without the event process_stopped\n"
      "counts as killed.");
  Options.addFlag("incomplete", "Jobs may still be without their end.");
  Options.addFlag("json", "Print JSON.");
  Options.setPositional("files", 1, -1);
  return Options;
}

} // namespace

exit_code check_command::run(const std::vector<std::string> &Arguments,
                             run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  std::vector<std::vector<timeline_event>> Parts;
  bool Faulty = false;
  for (const std::string &File : Values.getTexts("files")) {
    const auto Text = Context.Files.read(File);
    if (!Text) {
      Context.Err << "crocuswood: " << File << " can't be read.\n";
      Faulty = true;
      continue;
    }
    auto Events = timeline::parseJsonLines(*Text, File);
    if (const auto *Faults = std::get_if<findings>(&Events)) {
      Context.Err << toString(*Faults);
      Faulty = true;
      continue;
    }
    Parts.push_back(std::get<std::vector<timeline_event>>(std::move(Events)));
  }
  if (Faulty) {
    return exit_code::Usage;
  }
  const checker::limits Limits{.ExpectEnds = !Values.has("incomplete")};
  return reportVerdict(
      checker::judge(timeline::merge(std::move(Parts)), Limits),
      Values.has("json"), Context.Out);
}

} // namespace crocuswood::command_line
