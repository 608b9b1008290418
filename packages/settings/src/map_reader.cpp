#include "map_reader.h"

#include <algorithm>
#include <charconv>
#include <optional>
#include <utility>

namespace crocuswood::settings {

namespace {

constexpr std::string_view AddressForm =
    "An address IP:PORT is expected, such as 10.0.0.1:7000.";
constexpr std::string_view DurationForm =
    "A span of time with its unit (us, ms, s, m or h) is expected, such as "
    "500ms.";
constexpr std::string_view NumberForm = "A whole number is expected.";
constexpr std::string_view ByteSizeForm =
    "A number of bytes is expected, plain or with KB or MB.";
constexpr std::string_view TextForm = "A text is expected.";

std::optional<std::uint64_t> parseWhole(const std::string &Text) {
  std::uint64_t Value = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
  if (Error != std::errc() || Rest != End) {
    return std::nullopt;
  }
  return Value;
}

} // namespace

map_reader::map_reader(const YAML::Node &Map, std::string Path,
                       std::string Source, findings &Faults)
    : Map(Map), Path(std::move(Path)), Source(std::move(Source)),
      Faults(Faults) {
  checkKeys();
}

void map_reader::readName(const char *Key, std::string &Target,
                          presence Presence) {
  const auto Text = findScalar(Key, Presence, TextForm);
  if (!Text) {
    return;
  }
  if (!isName(*Text)) {
    addFault(Key, "A name has up to " + std::to_string(MaxNameLength) +
                      " of the characters a-z, 0-9, '_', '.' and '-', and "
                      "begins with a letter or digit.");
    return;
  }
  Target = *Text;
}

void map_reader::readText(const char *Key, std::string &Target,
                          presence Presence) {
  if (const auto Text = findScalar(Key, Presence, TextForm)) {
    Target = *Text;
  }
}

void map_reader::readChoice(const char *Key, std::string &Target,
                            std::initializer_list<std::string_view> Choices) {
  const auto Text = findScalar(Key, presence::Optional, TextForm);
  if (!Text) {
    return;
  }
  if (std::find(Choices.begin(), Choices.end(), *Text) != Choices.end()) {
    Target = *Text;
    return;
  }
  std::string Message = "One of these is expected:";
  for (const std::string_view Choice : Choices) {
    Message += " " + std::string(Choice);
  }
  addFault(Key, Message + ".");
}

bool map_reader::readAddress(const char *Key, peer_address &Target,
                             presence Presence, bool PortRequired) {
  const auto Text = findScalar(Key, Presence, AddressForm);
  if (!Text) {
    return false;
  }
  const auto Address = parsePeerAddress(*Text);
  if (!Address) {
    addFault(Key, std::string(AddressForm));
    return false;
  }
  if (PortRequired && Address->Port == 0) {
    addFault(Key, "A port other than 0 is expected.");
    return false;
  }
  Target = *Address;
  return true;
}

bool map_reader::readAddresses(const char *Key,
                               std::vector<peer_address> &Target) {
  const YAML::Node List = find(Key, presence::Optional);
  if (!List.IsDefined()) {
    return false;
  }
  if (!List.IsSequence()) {
    addFault(Key, "A list of addresses is expected.");
    return false;
  }
  for (const YAML::Node &Item : List) {
    const auto Address =
        Item.IsScalar() ? parsePeerAddress(Item.Scalar()) : std::nullopt;
    if (!Address || Address->Port == 0) {
      addFaultAt(Item.Mark(), Key, std::string(AddressForm));
      continue;
    }
    Target.push_back(*Address);
  }
  return true;
}

void map_reader::readDuration(const char *Key, duration &Target,
                              bounds<duration> Bounds) {
  const auto Text = findScalar(Key, presence::Optional, DurationForm);
  if (!Text) {
    return;
  }
  const auto Value = parseDuration(*Text);
  if (!Value) {
    addFault(Key, std::string(DurationForm));
    return;
  }
  if (*Value < Bounds.Least || *Value > Bounds.Greatest) {
    addFault(Key, "A value from " + formatDuration(Bounds.Least) + " to " +
                      formatDuration(Bounds.Greatest) + " is expected.");
    return;
  }
  Target = *Value;
}

void map_reader::readNumber(const char *Key, std::uint32_t &Target,
                            bounds<std::uint32_t> Bounds) {
  const auto Text = findScalar(Key, presence::Optional, NumberForm);
  if (!Text) {
    return;
  }
  const auto Value = parseWhole(*Text);
  if (!Value) {
    addFault(Key, std::string(NumberForm));
    return;
  }
  readBounded(Key, Target, Value, Bounds);
}

void map_reader::readByteSize(const char *Key, std::uint32_t &Target,
                              bounds<std::uint32_t> Bounds) {
  const auto Text = findScalar(Key, presence::Optional, ByteSizeForm);
  if (!Text) {
    return;
  }
  const auto Value = parseByteSize(*Text);
  if (!Value) {
    addFault(Key, std::string(ByteSizeForm));
    return;
  }
  readBounded(Key, Target, Value, Bounds);
}

void map_reader::readBounded(const char *Key, std::uint32_t &Target,
                             std::optional<std::uint64_t> Value,
                             bounds<std::uint32_t> Bounds) {
  if (*Value < Bounds.Least || *Value > Bounds.Greatest) {
    addFault(Key, "A value from " + std::to_string(Bounds.Least) + " to " +
                      std::to_string(Bounds.Greatest) + " is expected.");
    return;
  }
  Target = static_cast<std::uint32_t>(*Value);
}

bool map_reader::hasMap(const char *Key) const {
  const YAML::Node &Known = Map;
  return Known[Key].IsDefined() && Known[Key].IsMap();
}

map_reader map_reader::readMap(const char *Key) {
  YAML::Node Below = find(Key, presence::Optional);
  if (Below.IsDefined() && !Below.IsMap()) {
    addFault(Key, "A map is expected.");
    Below = YAML::Node();
  }
  if (!Below.IsDefined() || !Below.IsMap()) {
    Below = YAML::Node(YAML::NodeType::Map);
  }
  return {Below, pathOf(Key), Source, Faults};
}

void map_reader::finish() {
  for (const auto &Entry : Map) {
    if (Entry.first.IsScalar() && !Asked.contains(Entry.first.Scalar())) {
      addFaultAt(Entry.first.Mark(), Entry.first.Scalar(),
                 "This key is unknown.");
    }
  }
}

// The library keeps every pair of a map, so that duplicates can be seen.
void map_reader::checkKeys() {
  std::set<std::string, std::less<>> Seen;
  for (const auto &Entry : Map) {
    if (!Entry.first.IsScalar()) {
      addFaultAt(Entry.first.Mark(), "", "A key must be a text.");
      continue;
    }
    if (!Seen.insert(Entry.first.Scalar()).second) {
      addFaultAt(Entry.first.Mark(), Entry.first.Scalar(),
                 "This key stands here a second time.");
    }
  }
}

YAML::Node map_reader::find(const char *Key, presence Presence) {
  Asked.insert(Key);
  for (const auto &Entry : Map) {
    if (Entry.first.IsScalar() && Entry.first.Scalar() == Key) {
      return Entry.second;
    }
  }
  if (Presence == presence::Required) {
    addFault(Key, "This key is missing.");
  }
  return YAML::Node(YAML::NodeType::Undefined);
}

std::optional<std::string> map_reader::findScalar(const char *Key,
                                                  presence Presence,
                                                  std::string_view Expected) {
  const YAML::Node Value = find(Key, Presence);
  if (!Value.IsDefined()) {
    return std::nullopt;
  }
  if (!Value.IsScalar() || Value.Scalar().empty()) {
    addFault(Key, std::string(Expected));
    return std::nullopt;
  }
  return Value.Scalar();
}

void map_reader::addFault(std::string_view Key, std::string Message) {
  for (const auto &Entry : Map) {
    if (Entry.first.IsScalar() && Entry.first.Scalar() == Key) {
      // An empty value has no place of its own.
      const bool Empty = Entry.second.IsNull();
      addFaultAt(Empty ? Entry.first.Mark() : Entry.second.Mark(), Key,
                 std::move(Message));
      return;
    }
  }
  addFaultAt(Map.Mark(), Key, std::move(Message));
}

void map_reader::addFaultAt(const YAML::Mark &Mark, std::string_view Key,
                            std::string Message) {
  Faults.push_back({.Source = Source,
                    .Line = static_cast<std::uint32_t>(Mark.line + 1),
                    .Column = static_cast<std::uint32_t>(Mark.column + 1),
                    .Path = pathOf(Key),
                    .Message = std::move(Message)});
}

std::string map_reader::pathOf(std::string_view Key) const {
  if (Path.empty() || Key.empty()) {
    return Path + std::string(Key);
  }
  return Path + "." + std::string(Key);
}

} // namespace crocuswood::settings
