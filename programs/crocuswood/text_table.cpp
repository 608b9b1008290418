#include "text_table.h"

#include <algorithm>
#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

constexpr std::size_t Gap = 2;

} // namespace

text_table::text_table(std::vector<std::string> Headings) {
  Rows.push_back(std::move(Headings));
}

void text_table::add(std::vector<std::string> Cells) {
  Cells.resize(Rows.front().size());
  Rows.push_back(std::move(Cells));
}

void text_table::print(std::ostream &Out) const {
  std::vector<std::size_t> Widths(Rows.front().size());
  for (const auto &Row : Rows) {
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Widths[Column] = std::max(Widths[Column], Row[Column].size());
    }
  }
  for (const auto &Row : Rows) {
    std::string Line;
    for (std::size_t Column = 0; Column < Row.size(); ++Column) {
      Line += Row[Column];
      Line.append(Widths[Column] - Row[Column].size() + Gap, ' ');
    }
    Line.erase(Line.find_last_not_of(' ') + 1);
    Out << Line << "\n";
  }
}

} // namespace crocuswood::command_line
