/// \file
/// Files of this machine.
#pragma once

#include "file_port.h"

namespace crocuswood::command_line {

class local_files : public file_port {
public:
  std::optional<std::string> read(const std::string &Path) override;
  bool write(const std::string &Path, std::string_view Text) override;
};

} // namespace crocuswood::command_line
