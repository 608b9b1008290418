#include <crocuswood/model.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include <arpa/inet.h>

namespace crocuswood {

namespace {

struct duration_unit {
  std::string_view Name;
  std::int64_t Microseconds;
};

// From the largest to the smallest.
constexpr std::array<duration_unit, 5> DurationUnits = {{{"h", 3'600'000'000},
                                                         {"m", 60'000'000},
                                                         {"s", 1'000'000},
                                                         {"ms", 1'000},
                                                         {"us", 1}}};

constexpr std::uint64_t BytesPerKilobyte = 1024;
constexpr std::uint64_t BytesPerMegabyte = 1024 * BytesPerKilobyte;

bool isDigit(char Letter) { return Letter >= '0' && Letter <= '9'; }

template <class Number>
std::optional<Number> parseWhole(std::string_view Text) {
  Number Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End) {
    return std::nullopt;
  }
  return Value;
}

std::optional<double> parseDecimal(std::string_view Text) {
  const bool Plain = std::all_of(Text.begin(), Text.end(), [](char Letter) {
    return isDigit(Letter) || Letter == '.';
  });
  if (!Plain || Text.empty() || !isDigit(Text.front()) ||
      !isDigit(Text.back())) {
    return std::nullopt;
  }
  return parseWhole<double>(Text);
}

bool isIpNumber(const std::string &Host) {
  std::array<unsigned char, sizeof(in6_addr)> Bytes{};
  return inet_pton(AF_INET, Host.c_str(), Bytes.data()) == 1 ||
         inet_pton(AF_INET6, Host.c_str(), Bytes.data()) == 1;
}

// Takes the brackets off an IPv6 number. Without them its last group can't be
// told from a port.
std::optional<std::string> parseHost(std::string_view Text) {
  const bool Bracketed =
      Text.size() > 2 && Text.front() == '[' && Text.back() == ']';
  std::string Host(Bracketed ? Text.substr(1, Text.size() - 2) : Text);
  const bool HasColon = Host.find(':') != std::string::npos;
  if (HasColon != Bracketed || !isIpNumber(Host)) {
    return std::nullopt;
  }
  return Host;
}

} // namespace

std::optional<duration> parseDuration(std::string_view Text) {
  const std::size_t UnitStart = Text.find_first_not_of("0123456789.");
  if (UnitStart == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Amount = parseDecimal(Text.substr(0, UnitStart));
  const auto *Unit =
      std::find_if(DurationUnits.begin(), DurationUnits.end(),
                   [Name = Text.substr(UnitStart)](const duration_unit &Each) {
                     return Each.Name == Name;
                   });
  if (!Amount || Unit == DurationUnits.end()) {
    return std::nullopt;
  }
  constexpr double Tolerance = 1e-3;
  const double Microseconds = *Amount * static_cast<double>(Unit->Microseconds);
  if (Microseconds > static_cast<double>(MaxDuration.count()) ||
      std::abs(Microseconds - std::round(Microseconds)) > Tolerance) {
    return std::nullopt;
  }
  return duration(std::llround(Microseconds));
}

std::string formatDuration(duration Value) {
  if (Value.count() == 0) {
    return "0s";
  }
  for (const duration_unit &Unit : DurationUnits) {
    if (Value.count() % Unit.Microseconds == 0) {
      return std::to_string(Value.count() / Unit.Microseconds) +
             std::string(Unit.Name);
    }
  }
  return {};
}

std::optional<std::uint64_t> parseByteSize(std::string_view Text) {
  std::uint64_t Factor = 1;
  if (Text.ends_with("KB")) {
    Factor = BytesPerKilobyte;
    Text.remove_suffix(2);
  } else if (Text.ends_with("MB")) {
    Factor = BytesPerMegabyte;
    Text.remove_suffix(2);
  }
  const auto Amount = parseWhole<std::uint64_t>(Text);
  if (!Amount || *Amount > UINT64_MAX / Factor) {
    return std::nullopt;
  }
  return *Amount * Factor;
}

std::optional<peer_address> parsePeerAddress(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos) {
    return std::nullopt;
  }
  const auto Host = parseHost(Text.substr(0, Colon));
  const auto Port = parseWhole<std::uint16_t>(Text.substr(Colon + 1));
  if (!Host || !Port) {
    return std::nullopt;
  }
  return peer_address{.Host = *Host, .Port = *Port};
}

std::string toString(const peer_address &Value) {
  const bool Bracketed = Value.Host.find(':') != std::string::npos;
  const std::string Host = Bracketed ? "[" + Value.Host + "]" : Value.Host;
  return Host + ":" + std::to_string(Value.Port);
}

bool isName(std::string_view Text) {
  const auto IsPlain = [](char Letter) {
    return isDigit(Letter) || (Letter >= 'a' && Letter <= 'z');
  };
  if (Text.empty() || Text.size() > MaxNameLength || !IsPlain(Text.front())) {
    return false;
  }
  return std::all_of(Text.begin(), Text.end(), [&](char Letter) {
    return IsPlain(Letter) || Letter == '_' || Letter == '.' || Letter == '-';
  });
}

} // namespace crocuswood
