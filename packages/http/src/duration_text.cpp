#include "duration_text.h"

#include <array>
#include <charconv>
#include <chrono>

namespace crocuswood::http {

namespace {

struct unit {
  std::string_view Name;
  double Microseconds;
};

constexpr std::array<unit, 5> Units = {
    {{"us", 1.0}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}}};
constexpr duration Longest = std::chrono::hours(24 * 365);

} // namespace

std::optional<duration> parseDuration(std::string_view Text) {
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] =
      std::from_chars(Text.data(), End, Number, std::chars_format::fixed);
  if (Error != std::errc() || !(Number > 0)) {
    return std::nullopt;
  }
  const std::string_view Name(Rest, static_cast<std::size_t>(End - Rest));
  for (const unit &Unit : Units) {
    if (Unit.Name != Name) {
      continue;
    }
    const double Microseconds = Number * Unit.Microseconds;
    if (Microseconds < 1 ||
        Microseconds > static_cast<double>(Longest.count())) {
      return std::nullopt;
    }
    return duration(static_cast<duration::rep>(Microseconds));
  }
  return std::nullopt;
}

} // namespace crocuswood::http
