/// \file
/// The command `check`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class check_command : public command {
public:
  std::string getName() const override { return "check"; }
  std::string getSummary() const override {
    return "Judges every promise from time line files.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
