/// \file
/// The command `check-settings`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class check_settings_command : public command {
public:
  std::string getName() const override { return "check-settings"; }
  std::string getSummary() const override {
    return "Checks the settings of a process.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
