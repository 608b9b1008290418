/// \file
/// The command `config`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class config_command : public command {
public:
  std::string getName() const override { return "config"; }
  std::string getSummary() const override {
    return "Checks a configuration before it is put in force.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
