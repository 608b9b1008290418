/// \file
/// What commands use of the world around them.
#pragma once

#include "file_port.h"
#include "http_port.h"

#include <crocuswood/model.h>

#include <functional>
#include <iosfwd>
#include <map>
#include <string>

namespace crocuswood::command_line {

/// All members outlive the command that runs.
struct run_context {
  std::ostream &Out;
  std::ostream &Err;
  http_port &Http;
  file_port &Files;
  std::map<std::string, std::string> Environment;
  std::function<std::string()> MakeId; ///< Makes a unique id for a change.
  std::function<void(duration)> Sleep;
};

} // namespace crocuswood::command_line
