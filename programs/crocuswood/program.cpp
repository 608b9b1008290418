#include "program.h"

#include "check_command.h"
#include "check_settings_command.h"
#include "class_command.h"
#include "config_command.h"
#include "explain_command.h"
#include "replay_command.h"
#include "status_command.h"
#include "submit_command.h"
#include "team_command.h"
#include "text_table.h"
#include "timeline_command.h"

#include <ostream>

namespace crocuswood::command_line {

program::program() {
  Commands.push_back(std::make_unique<class_command>());
  Commands.push_back(std::make_unique<team_command>());
  Commands.push_back(std::make_unique<status_command>());
  Commands.push_back(std::make_unique<timeline_command>());
  Commands.push_back(std::make_unique<explain_command>());
  Commands.push_back(std::make_unique<submit_command>());
  Commands.push_back(std::make_unique<replay_command>());
  Commands.push_back(std::make_unique<check_command>());
  Commands.push_back(std::make_unique<check_settings_command>());
  Commands.push_back(std::make_unique<config_command>());
}

exit_code program::run(const std::vector<std::string> &Arguments,
                       run_context &Context) const {
  if (Arguments.empty()) {
    printHelp(Context.Err);
    return exit_code::Usage;
  }
  const std::string &Name = Arguments.front();
  if (Name == "--help" || Name == "help") {
    printHelp(Context.Out);
    return exit_code::Done;
  }
  for (const auto &Command : Commands) {
    if (Command->getName() == Name) {
      return Command->run({Arguments.begin() + 1, Arguments.end()}, Context);
    }
  }
  Context.Err << "crocuswood: '" << Name
              << "' is not a command; see crocuswood --help.\n";
  return exit_code::Usage;
}

void program::printHelp(std::ostream &Out) const {
  Out << "Usage: crocuswood COMMAND [arguments]\n\n";
  text_table Table({"COMMAND", ""});
  for (const auto &Command : Commands) {
    Table.add({Command->getName(), Command->getSummary()});
  }
  Table.print(Out);
  Out << "\ncrocuswood COMMAND --help tells more.\n"
         "Exit codes: 0 done; 1 refused, failed or in conflict; 2 wrong "
         "arguments or input;\n3 no usable answer.\n";
}

} // namespace crocuswood::command_line
