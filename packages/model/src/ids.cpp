#include <crocuswood/model.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace crocuswood {

namespace {

constexpr std::size_t IncarnationDigits = 16;
constexpr int Hexadecimal = 16;
constexpr int Decimal = 10;

template <class Number>
std::optional<Number> parseNumber(std::string_view Text, int Base) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value, Base);
  if (Error != std::errc() || Rest != End) {
    return std::nullopt;
  }
  return Value;
}

// Finalizer of SplitMix64: spreads every input bit over the whole result.
std::uint64_t mix(std::uint64_t Value) {
  Value = (Value ^ (Value >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  Value = (Value ^ (Value >> 27U)) * 0x94d049bb133111ebULL;
  return Value ^ (Value >> 31U);
}

} // namespace

std::string toString(incarnation Value) {
  std::array<char, IncarnationDigits> Digits{};
  Digits.fill('0');
  std::array<char, IncarnationDigits> Written{};
  const auto Result =
      std::to_chars(Written.data(), Written.data() + Written.size(),
                    static_cast<std::uint64_t>(Value), Hexadecimal);
  const std::size_t Length =
      static_cast<std::size_t>(Result.ptr - Written.data());
  std::copy(Written.data(), Result.ptr,
            Digits.end() - static_cast<std::ptrdiff_t>(Length));
  return std::string(Digits.data(), Digits.size());
}

std::string toString(const job_id &Value) {
  return toString(Value.Entry) + "-" + std::to_string(Value.Sequence);
}

std::string toString(const task_id &Value) {
  return toString(Value.Job) + "." + std::to_string(Value.Index);
}

std::string toString(const run_id &Value) {
  return Value.Job + "." + std::to_string(Value.Task) + "#" +
         std::to_string(Value.Attempt);
}

std::optional<incarnation> parseIncarnation(std::string_view Text) {
  if (Text.size() != IncarnationDigits) {
    return std::nullopt;
  }
  const auto Number = parseNumber<std::uint64_t>(Text, Hexadecimal);
  if (!Number) {
    return std::nullopt;
  }
  return incarnation{*Number};
}

std::optional<job_id> parseJobId(std::string_view Text) {
  const std::size_t Dash = Text.find('-');
  if (Dash == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Entry = parseIncarnation(Text.substr(0, Dash));
  const auto Sequence =
      parseNumber<std::uint64_t>(Text.substr(Dash + 1), Decimal);
  if (!Entry || !Sequence) {
    return std::nullopt;
  }
  return job_id{.Entry = *Entry, .Sequence = *Sequence};
}

std::optional<task_id> parseTaskId(std::string_view Text) {
  const std::size_t Dot = Text.find('.');
  if (Dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Job = parseJobId(Text.substr(0, Dot));
  const auto Index = parseNumber<std::uint32_t>(Text.substr(Dot + 1), Decimal);
  if (!Job || !Index) {
    return std::nullopt;
  }
  return task_id{.Job = *Job, .Index = *Index};
}

std::size_t hashValue(const job_id &Value) noexcept {
  return mix(static_cast<std::uint64_t>(Value.Entry) ^ mix(Value.Sequence));
}

std::size_t hashValue(const task_id &Value) noexcept {
  return mix(hashValue(Value.Job) + Value.Index);
}

} // namespace crocuswood
