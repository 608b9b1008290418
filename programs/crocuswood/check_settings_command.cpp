#include "check_settings_command.h"

#include "command_options.h"

#include <crocuswood/settings.h>

#include <ostream>

namespace crocuswood::command_line {

namespace {

command_options describeOptions() {
  command_options Options("check-settings entry|companion FILE",
                          "Prints every fault of a settings file with its "
                          "line and column, and exits with 2\nif there is "
                          "one.");
  Options.setPositional("words", 2, 2);
  return Options;
}

template <class Settings>
exit_code report(const checked<Settings> &Parsed, const std::string &File,
                 run_context &Context) {
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    Context.Err << toString(*Faults);
    return exit_code::Usage;
  }
  Context.Out << File << " is valid.\n";
  return exit_code::Done;
}

} // namespace

exit_code check_settings_command::run(const std::vector<std::string> &Arguments,
                                      run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const auto Words = std::get<option_values>(Parsed).getTexts("words");
  const std::string &Role = Words.front();
  const std::string &File = Words.back();
  if (Role != "entry" && Role != "companion") {
    return Options.reportUsage(Context, "'" + Role + "' is not a role.");
  }
  const auto Text = Context.Files.read(File);
  if (!Text) {
    Context.Err << "crocuswood: " << File << " can't be read.\n";
    return exit_code::Usage;
  }
  if (Role == "entry") {
    return report(settings::parseEntry(*Text, File), File, Context);
  }
  return report(settings::parseCompanion(*Text, File), File, Context);
}

} // namespace crocuswood::command_line
