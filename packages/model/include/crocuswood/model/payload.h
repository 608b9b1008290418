/// \file
/// Opaque bytes of a task's input or output.
#pragma once

#include <compare>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace crocuswood {

/// Immutable bytes, shared between copies. Compared by content.
class payload {
public:
  payload() = default;
  explicit payload(std::string Bytes)
      : Content(std::make_shared<const std::string>(std::move(Bytes))) {}

  std::string_view getBytes() const {
    return Content ? std::string_view(*Content) : std::string_view();
  }

  friend bool operator==(const payload &Left, const payload &Right) {
    return Left.Content == Right.Content || Left.getBytes() == Right.getBytes();
  }
  friend std::strong_ordering operator<=>(const payload &Left,
                                          const payload &Right) {
    return Left.getBytes() <=> Right.getBytes();
  }

private:
  std::shared_ptr<const std::string> Content;
};

/// \returns a 64-bit digest (XXH3) of \p Bytes, continued from \p Seed.
std::uint64_t digest(std::string_view Bytes, std::uint64_t Seed = 0);

} // namespace crocuswood
