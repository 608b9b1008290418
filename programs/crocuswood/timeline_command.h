/// \file
/// The command `timeline`.
#pragma once

#include "command.h"

namespace crocuswood::command_line {

class timeline_command : public command {
public:
  std::string getName() const override { return "timeline"; }
  std::string getSummary() const override {
    return "What happened, over all processes.";
  }
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;
};

} // namespace crocuswood::command_line
