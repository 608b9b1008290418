/// \file
/// Interface of the commands.
#pragma once

#include "exit_code.h"
#include "run_context.h"

#include <string>
#include <vector>

namespace crocuswood::command_line {

class command {
public:
  virtual ~command() = default;
  virtual std::string getName() const = 0;
  /// \returns one line for the list of commands.
  virtual std::string getSummary() const = 0;
  /// \p Arguments are those after the command's name.
  virtual exit_code run(const std::vector<std::string> &Arguments,
                        run_context &Context) const = 0;
};

} // namespace crocuswood::command_line
