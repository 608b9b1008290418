/// \file
/// Interface to the files that commands read and write.
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace crocuswood::command_line {

class file_port {
public:
  virtual ~file_port() = default;
  /// \returns the content of \p Path, or nothing if it can't be read. `-` is
  /// the standard input.
  virtual std::optional<std::string> read(const std::string &Path) = 0;
  /// \returns whether \p Text was written whole.
  virtual bool write(const std::string &Path, std::string_view Text) = 0;
};

} // namespace crocuswood::command_line
