/// \file
/// The list of commands and the choice among them.
#pragma once

#include "command.h"

#include <memory>
#include <string>
#include <vector>

namespace crocuswood::command_line {

class program {
public:
  program();
  /// \p Arguments are those after the program's name.
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const;

private:
  void printHelp(std::ostream &Out) const;

  std::vector<std::unique_ptr<command>> Commands;
};

} // namespace crocuswood::command_line
