/// \file
/// The command `submit`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class submit_command : public command {
public:
  std::string getName() const override { return "submit"; }
  std::string getSummary() const override {
    return "Submits a job and prints its answer.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
