#include "object_reader.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <utility>

namespace crocuswood::replay {

std::optional<duration> parseDuration(std::string_view Text) {
  const std::map<std::string_view, double> Units = {
      {"us", 1}, {"ms", 1e3}, {"s", 1e6}, {"m", 60e6}, {"h", 3600e6}};
  double Number = 0;
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Number);
  if (Parsed.ec != std::errc()) {
    return std::nullopt;
  }
  const auto Unit = Units.find(
      std::string_view(Parsed.ptr, static_cast<std::size_t>(End - Parsed.ptr)));
  if (Unit == Units.end() || Number < 0) {
    return std::nullopt;
  }
  return duration(static_cast<std::int64_t>(Number * Unit->second));
}

object_reader::object_reader(const json &Object, fault_list &Faults,
                             std::uint32_t Line, std::string Path)
    : Object(Object), Faults(&Faults), Line(Line), Path(std::move(Path)) {
  if (!Object.is_object()) {
    fault("", "must be an object");
    this->Object = json::object();
  }
}

void object_reader::fault(const std::string &Name, const std::string &Message) {
  std::string Place = Path;
  if (!Name.empty()) {
    Place += (Place.empty() ? "" : ".") + Name;
  }
  Faults->Findings.push_back({.Source = Faults->Source,
                              .Line = Line,
                              .Path = Place,
                              .Message = Message});
}

const nlohmann::json *object_reader::find(const std::string &Name) {
  Asked.insert(Name);
  const auto Place = Object.find(Name);
  return Place == Object.end() ? nullptr : &*Place;
}

std::string object_reader::readText(const std::string &Name,
                                    std::string Default) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Default;
  }
  if (!Value->is_string()) {
    fault(Name, "must be a text");
    return Default;
  }
  return Value->get<std::string>();
}

std::string object_reader::requireText(const std::string &Name) {
  if (find(Name) == nullptr) {
    fault(Name, "is missing");
    return {};
  }
  return readText(Name, {});
}

double object_reader::readNumber(const std::string &Name, double Default) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Default;
  }
  if (!Value->is_number() || Value->get<double>() < 0) {
    fault(Name, "must be a number from 0 on");
    return Default;
  }
  return Value->get<double>();
}

std::uint64_t object_reader::readCount(const std::string &Name,
                                       std::uint64_t Default) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Default;
  }
  if (!Value->is_number_unsigned()) {
    fault(Name, "must be a whole number from 0 on");
    return Default;
  }
  return Value->get<std::uint64_t>();
}

bool object_reader::readFlag(const std::string &Name, bool Default) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Default;
  }
  if (!Value->is_boolean()) {
    fault(Name, "must be true or false");
    return Default;
  }
  return Value->get<bool>();
}

std::optional<duration> object_reader::findSpan(const std::string &Name) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return std::nullopt;
  }
  std::optional<duration> Span;
  if (Value->is_string()) {
    Span = parseDuration(Value->get_ref<const std::string &>());
  }
  if (!Span) {
    fault(Name, "must be a span such as \"80ms\"");
  }
  return Span;
}

duration object_reader::readSpan(const std::string &Name, duration Default) {
  return findSpan(Name).value_or(Default);
}

std::vector<std::string> object_reader::readTexts(const std::string &Name) {
  std::vector<std::string> Texts;
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Texts;
  }
  const bool AllTexts =
      Value->is_array() && std::ranges::all_of(*Value, [](const json &Each) {
        return Each.is_string();
      });
  if (!AllTexts) {
    fault(Name, "must be a list of texts");
    return Texts;
  }
  return Value->get<std::vector<std::string>>();
}

std::vector<object_reader> object_reader::readObjects(const std::string &Name) {
  std::vector<object_reader> Readers;
  const json *Value = find(Name);
  if (Value == nullptr) {
    return Readers;
  }
  if (!Value->is_array()) {
    fault(Name, "must be a list of objects");
    return Readers;
  }
  const std::string Place = Path.empty() ? Name : Path + "." + Name;
  for (std::size_t Index = 0; Index < Value->size(); ++Index) {
    Readers.emplace_back((*Value)[Index], *Faults, Line,
                         Place + "[" + std::to_string(Index) + "]");
  }
  return Readers;
}

std::optional<object_reader>
object_reader::findObject(const std::string &Name) {
  const json *Value = find(Name);
  if (Value == nullptr) {
    return std::nullopt;
  }
  return object_reader(*Value, *Faults, Line,
                       Path.empty() ? Name : Path + "." + Name);
}

std::size_t object_reader::readChoice(const std::string &Name,
                                      const std::vector<std::string> &Names) {
  const std::string Text = requireText(Name);
  const auto Place = std::ranges::find(Names, Text);
  if (Place != Names.end()) {
    return static_cast<std::size_t>(Place - Names.begin());
  }
  std::string Known;
  for (const std::string &Each : Names) {
    Known += (Known.empty() ? "" : ", ") + Each;
  }
  fault(Name, "must be one of " + Known);
  return 0;
}

std::vector<std::string> object_reader::listNames() const {
  std::vector<std::string> Names;
  for (const auto &Item : Object.items()) {
    Names.push_back(Item.key());
  }
  return Names;
}

void object_reader::finish() {
  for (const auto &Item : Object.items()) {
    if (!Asked.contains(Item.key())) {
      fault(Item.key(), "is not known here");
    }
  }
}

} // namespace crocuswood::replay
