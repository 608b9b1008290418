/// \file
/// The command `replay`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class replay_command : public command {
public:
  std::string getName() const override { return "replay"; }
  std::string getSummary() const override {
    return "Runs recorded traces against their stated outcomes.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
