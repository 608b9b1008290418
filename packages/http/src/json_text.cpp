#include "json_text.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuswood::http {

finding findingAt(std::string_view Text, std::size_t Offset, std::string Path,
                  std::string Message) {
  const std::string_view Before = Text.substr(0, std::min(Offset, Text.size()));
  const auto Line = std::count(Before.begin(), Before.end(), '\n') + 1;
  const std::size_t LastBreak = Before.rfind('\n');
  const std::size_t Column = LastBreak == std::string_view::npos
                                 ? Before.size() + 1
                                 : Before.size() - LastBreak;
  return {.Source = BodySource,
          .Line = static_cast<std::uint32_t>(Line),
          .Column = static_cast<std::uint32_t>(Column),
          .Path = std::move(Path),
          .Message = std::move(Message)};
}

std::string shortMessage(std::string_view Message) {
  for (const std::string_view Prefix : {"syntax error", "number overflow"}) {
    const std::size_t Start = Message.find(Prefix);
    if (Start != std::string_view::npos) {
      return std::string(Message.substr(Start));
    }
  }
  return std::string(Message);
}

std::string toJsonString(std::string_view Text) {
  return nlohmann::json(Text).dump(-1, ' ', false,
                                   nlohmann::json::error_handler_t::replace);
}

std::string writeFindings(const findings &Findings) {
  std::string Text = "\"findings\":[";
  for (const finding &Finding : Findings) {
    if (Text.back() == '}') {
      Text += ',';
    }
    Text += "{\"path\":" + toJsonString(Finding.Path) +
            ",\"line\":" + std::to_string(Finding.Line) +
            ",\"column\":" + std::to_string(Finding.Column) +
            ",\"message\":" + toJsonString(Finding.Message) + '}';
  }
  return Text + ']';
}

bool isJson(std::string_view Text) { return nlohmann::json::accept(Text); }

} // namespace crocuswood::http
