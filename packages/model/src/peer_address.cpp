#include <crocuswood/model.h>

#include <charconv>

namespace crocuswood {

std::string toString(const peer_address &Address) {
  return Address.Host + ":" + std::to_string(Address.Port);
}

std::optional<peer_address> parsePeerAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos || Colon == 0) {
    return std::nullopt;
  }
  std::uint16_t Port = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data() + Colon + 1, End, Port);
  if (Error != std::errc() || Rest != End) {
    return std::nullopt;
  }
  return peer_address{.Host = std::string(Text.substr(0, Colon)), .Port = Port};
}

} // namespace crocuswood
