/// \file
/// Looks up enumerators by their names in snake case.
#pragma once

#include <array>
#include <cstddef>
#include <optional>
#include <string_view>

namespace crocuswood {

/// \returns the enumerator whose position in \p Names holds \p Text.
template <class Enum, std::size_t Count>
std::optional<Enum> findName(const std::array<std::string_view, Count> &Names,
                             std::string_view Text) {
  for (std::size_t Index = 0; Index < Count; ++Index) {
    if (Names[Index] == Text) {
      return static_cast<Enum>(Index);
    }
  }
  return std::nullopt;
}

} // namespace crocuswood
