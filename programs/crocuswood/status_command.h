/// \file
/// The command `status`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class status_command : public command {
public:
  std::string getName() const override { return "status"; }
  std::string getSummary() const override {
    return "All processes, and whether each one answers.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
