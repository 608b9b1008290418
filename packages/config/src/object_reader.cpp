#include "object_reader.h"

#include <utility>

namespace crocuswood::config {

namespace {

const nlohmann::json EmptyList = nlohmann::json::array();

} // namespace

object_reader::object_reader(const nlohmann::json &Object, std::string Path,
                             std::string Source, findings &Faults)
    : Object(Object), Path(std::move(Path)), Source(std::move(Source)),
      Faults(Faults) {
  if (!Object.is_object()) {
    addFault("", "An object is expected.");
  }
}

void object_reader::readName(const char *Key, std::string &Target) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    if (Object.is_object()) {
      addFault(Key, "This key is missing.");
    }
    return;
  }
  if (!Value->is_string() || !isName(Value->get_ref<const std::string &>())) {
    addFault(Key, "A name has up to " + std::to_string(MaxNameLength) +
                      " of the characters a-z, 0-9, '_', '.' and '-', and "
                      "begins with a letter or digit.");
    return;
  }
  Target = Value->get<std::string>();
}

void object_reader::readText(const char *Key, std::string &Target) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_string()) {
    addFault(Key, "A text is expected.");
    return;
  }
  Target = Value->get<std::string>();
}

void object_reader::readFlag(const char *Key, bool &Target) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_boolean()) {
    addFault(Key, "true or false is expected.");
    return;
  }
  Target = Value->get<bool>();
}

void object_reader::readDuration(const char *Key, duration &Target,
                                 duration Least, duration Greatest) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    if (Object.is_object()) {
      addFault(Key, "This key is missing.");
    }
    return;
  }
  const auto Span = Value->is_string()
                        ? parseDuration(Value->get_ref<const std::string &>())
                        : std::nullopt;
  if (!Span) {
    addFault(Key, "A text with a span of time and its unit (us, ms, s, m or h) "
                  "is expected, such as \"400ms\".");
    return;
  }
  if (*Span < Least || *Span > Greatest) {
    addFault(Key, "A span from " + formatDuration(Least) + " to " +
                      formatDuration(Greatest) + " is expected.");
    return;
  }
  Target = *Span;
}

void object_reader::readNumber(const char *Key, double &Target, double Least,
                               double Greatest) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number() || Value->get<double>() < Least ||
      Value->get<double>() > Greatest) {
    addFault(Key, "A number from " + nlohmann::json(Least).dump() + " to " +
                      nlohmann::json(Greatest).dump() + " is expected.");
    return;
  }
  Target = Value->get<double>();
}

void object_reader::readWhole(const char *Key, std::uint64_t &Target,
                              std::uint64_t Greatest) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return;
  }
  if (!Value->is_number_unsigned() || Value->get<std::uint64_t>() > Greatest) {
    addFault(Key, "A whole number from 0 to " + std::to_string(Greatest) +
                      " is expected.");
    return;
  }
  Target = Value->get<std::uint64_t>();
}

const nlohmann::json &object_reader::readList(const char *Key) {
  const nlohmann::json *Value = find(Key);
  if (Value == nullptr) {
    return EmptyList;
  }
  if (!Value->is_array()) {
    addFault(Key, "A list is expected.");
    return EmptyList;
  }
  return *Value;
}

void object_reader::finish() {
  if (!Object.is_object()) {
    return;
  }
  for (const auto &Item : Object.items()) {
    if (!Asked.contains(Item.key())) {
      addFault(Item.key(), "This key is unknown.");
    }
  }
}

const nlohmann::json *object_reader::find(const char *Key) {
  Asked.insert(Key);
  if (!Object.is_object()) {
    return nullptr;
  }
  const auto Position = Object.find(Key);
  return Position == Object.end() ? nullptr : &*Position;
}

void object_reader::addFault(std::string_view Key, std::string Message) {
  Faults.push_back(
      {.Source = Source, .Path = pathOf(Key), .Message = std::move(Message)});
}

std::string object_reader::pathOf(std::string_view Key) const {
  if (Path.empty() || Key.empty()) {
    return Path + std::string(Key);
  }
  return Path + "." + std::string(Key);
}

} // namespace crocuswood::config
