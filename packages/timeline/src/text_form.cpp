#include "text_form.h"

#include <array>
#include <cstdio>
#include <ctime>

namespace crocuswood::timeline {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
constexpr std::int64_t MicrosecondsPerMillisecond = 1'000;

} // namespace

std::string formatTime(const hybrid_time &Time) {
  // Rounds down, so that times before 1970 keep a positive fraction.
  std::int64_t Fraction = Time.WallMicroseconds % MicrosecondsPerSecond;
  if (Fraction < 0) {
    Fraction += MicrosecondsPerSecond;
  }
  const std::time_t Seconds = static_cast<std::time_t>(
      (Time.WallMicroseconds - Fraction) / MicrosecondsPerSecond);
  std::tm Parts{};
  if (gmtime_r(&Seconds, &Parts) == nullptr) {
    return std::to_string(Time.WallMicroseconds) + " us";
  }
  std::array<char, sizeof "YYYYYYYYYYYY-MM-DD HH:MM:SS"> Text{};
  const std::size_t Length =
      std::strftime(Text.data(), Text.size(), "%Y-%m-%d %H:%M:%S", &Parts);
  const std::string Digits = std::to_string(MicrosecondsPerSecond + Fraction);
  return std::string(Text.data(), Length) + "." + Digits.substr(1);
}

std::string formatSpan(std::int64_t Microseconds) {
  std::array<char, 32> Text{};
  if (Microseconds < MicrosecondsPerMillisecond) {
    return std::to_string(Microseconds) + " us";
  }
  const bool InSeconds = Microseconds >= MicrosecondsPerSecond;
  const std::int64_t Unit =
      InSeconds ? MicrosecondsPerSecond : MicrosecondsPerMillisecond;
  const int Length = std::snprintf(Text.data(), Text.size(), "%.1f %s",
                                   static_cast<double>(Microseconds) /
                                       static_cast<double>(Unit),
                                   InSeconds ? "s" : "ms");
  return std::string(Text.data(), static_cast<std::size_t>(Length));
}

std::string formatBetween(const timeline_event &From,
                          const timeline_event &To) {
  return formatSpan(To.Time.WallMicroseconds - From.Time.WallMicroseconds);
}

std::string formatCount(std::int64_t Count, const std::string &Singular) {
  return std::to_string(Count) + " " + Singular + (Count == 1 ? "" : "s");
}

} // namespace crocuswood::timeline
