#include "target_text.h"

#include <charconv>
#include <cstdint>

namespace crocuswood::http {

namespace {

constexpr std::string_view Digits = "0123456789ABCDEF";
constexpr int Hexadecimal = 16;

bool isUnreserved(char Character) {
  return (Character >= 'a' && Character <= 'z') ||
         (Character >= 'A' && Character <= 'Z') ||
         (Character >= '0' && Character <= '9') || Character == '-' ||
         Character == '.' || Character == '_' || Character == '~';
}

std::optional<char> parseEscape(std::string_view Text) {
  std::uint8_t Value = 0;
  if (Text.size() < 2) {
    return std::nullopt;
  }
  const auto [Rest, Error] =
      std::from_chars(Text.data(), Text.data() + 2, Value, Hexadecimal);
  if (Error != std::errc() || Rest != Text.data() + 2) {
    return std::nullopt;
  }
  return static_cast<char>(Value);
}

} // namespace

std::string percentEncode(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (const char Character : Text) {
    if (isUnreserved(Character) || Character == '/') {
      Result += Character;
      continue;
    }
    const auto Byte = static_cast<unsigned char>(Character);
    Result += '%';
    Result += Digits[Byte / Hexadecimal];
    Result += Digits[Byte % Hexadecimal];
  }
  return Result;
}

std::optional<std::string> percentDecode(std::string_view Text) {
  std::string Result;
  Result.reserve(Text.size());
  for (std::size_t Index = 0; Index < Text.size(); ++Index) {
    if (Text[Index] != '%') {
      Result += Text[Index];
      continue;
    }
    const auto Character = parseEscape(Text.substr(Index + 1));
    if (!Character) {
      return std::nullopt;
    }
    Result += *Character;
    Index += 2;
  }
  return Result;
}

std::optional<request_target> parseTarget(std::string_view Text) {
  if (Text.empty() || Text.front() != '/') {
    return std::nullopt;
  }
  const std::size_t Mark = Text.find('?');
  const auto Path = percentDecode(Text.substr(0, Mark));
  if (!Path) {
    return std::nullopt;
  }
  request_target Target{.Path = *Path};
  std::string_view Rest =
      Mark == std::string_view::npos ? "" : Text.substr(Mark + 1);
  while (!Rest.empty()) {
    const std::size_t End = Rest.find('&');
    const std::string_view Pair = Rest.substr(0, End);
    const std::size_t Equals = Pair.find('=');
    const auto Name = percentDecode(Pair.substr(0, Equals));
    const auto Value = percentDecode(
        Equals == std::string_view::npos ? "" : Pair.substr(Equals + 1));
    if (!Name || !Value) {
      return std::nullopt;
    }
    Target.Query[*Name] = *Value;
    Rest = End == std::string_view::npos ? "" : Rest.substr(End + 1);
  }
  return Target;
}

} // namespace crocuswood::http
