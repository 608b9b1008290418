#include "local_files.h"

#include <fstream>
#include <iostream>
#include <iterator>

namespace crocuswood::command_line {

std::optional<std::string> local_files::read(const std::string &Path) {
  using iterator = std::istreambuf_iterator<char>;
  if (Path == "-") {
    return std::string(iterator(std::cin), iterator());
  }
  std::ifstream File(Path, std::ios::binary);
  if (!File) {
    return std::nullopt;
  }
  std::string Text(iterator(File), iterator{});
  if (File.bad()) {
    return std::nullopt;
  }
  return Text;
}

bool local_files::write(const std::string &Path, std::string_view Text) {
  std::ofstream File(Path, std::ios::binary | std::ios::trunc);
  File.write(Text.data(), static_cast<std::streamsize>(Text.size()));
  File.close();
  return static_cast<bool>(File);
}

} // namespace crocuswood::command_line
