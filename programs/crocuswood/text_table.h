/// \file
/// Tables of plain text.
#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace crocuswood::command_line {

/// Columns as wide as their widest cell.
class text_table {
public:
  explicit text_table(std::vector<std::string> Headings);
  /// \p Cells has one cell for each heading.
  void add(std::vector<std::string> Cells);
  void print(std::ostream &Out) const;

private:
  std::vector<std::vector<std::string>> Rows; ///< The headings come first.
};

} // namespace crocuswood::command_line
