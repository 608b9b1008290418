#include "json_text.h"

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

namespace crocuswood::command_line {

namespace {

std::uint32_t placeOf(const nlohmann::json &Object, const char *Key) {
  const auto Position = Object.find(Key);
  if (Position == Object.end() || !Position->is_number_unsigned()) {
    return 0;
  }
  return Position->get<std::uint32_t>();
}

std::string describeFindings(const nlohmann::json &List) {
  findings Faults;
  for (const nlohmann::json &Object : List) {
    if (Object.is_object()) {
      Faults.push_back({.Line = placeOf(Object, "line"),
                        .Column = placeOf(Object, "column"),
                        .Path = textOf(Object, "path"),
                        .Message = textOf(Object, "message")});
    }
  }
  return toString(Faults);
}

} // namespace

std::string textOf(const nlohmann::json &Object, const char *Key) {
  if (!Object.is_object()) {
    return {};
  }
  const auto Position = Object.find(Key);
  if (Position == Object.end() || !Position->is_string()) {
    return {};
  }
  return Position->get<std::string>();
}

std::uint64_t wholeOf(const std::string &Text, const char *Key) {
  const nlohmann::json Document = nlohmann::json::parse(Text, nullptr, false);
  if (!Document.is_object() || !Document.contains(Key) ||
      !Document[Key].is_number_unsigned()) {
    return 0;
  }
  return Document[Key].get<std::uint64_t>();
}

std::string describeError(const std::string &Body) {
  const nlohmann::json Document = nlohmann::json::parse(Body, nullptr, false);
  if (!Document.is_object()) {
    return Body;
  }
  std::string Text = textOf(Document, "error");
  for (const char *Key : {"message", "reason"}) {
    const std::string Words = textOf(Document, Key);
    Text += Words.empty() ? "" : ": " + Words;
  }
  const auto Findings = Document.find("findings");
  if (Findings != Document.end() && Findings->is_array()) {
    Text += "\n" + describeFindings(*Findings);
    Text.erase(Text.find_last_not_of('\n') + 1);
  }
  return Text;
}

} // namespace crocuswood::command_line
