/// \file
/// The command `explain`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class explain_command : public command {
public:
  std::string getName() const override { return "explain"; }
  std::string getSummary() const override {
    return "Why a job waited, where it ran, how it ended.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
