#include <crocuswood/config_check.h>

#include <nlohmann/json.hpp>

#include <algorithm>

namespace crocuswood::config_check {

namespace {

// Documents written by programs have one line of hundreds of kilobytes.
constexpr std::size_t MaxExcerpt = 100;
constexpr std::size_t BeforeColumn = 20;

const char *toText(severity Value) {
  switch (Value) {
  case severity::Error:
    return "error";
  case severity::Warning:
    return "warning";
  case severity::Note:
    return "note";
  }
  return "";
}

std::string_view lineAt(std::string_view Text, std::uint32_t Line) {
  for (std::uint32_t Skipped = 1; Skipped < Line; ++Skipped) {
    const std::size_t End = Text.find('\n');
    if (End == std::string_view::npos) {
      return {};
    }
    Text.remove_prefix(End + 1);
  }
  return Text.substr(0, Text.find('\n'));
}

std::string excerpt(const finding &What, std::string_view Text) {
  std::string_view Line = lineAt(Text, What.Line);
  std::size_t Mark = What.Column == 0 ? 0 : What.Column - 1;
  if (Line.size() > MaxExcerpt && Mark > BeforeColumn) {
    const std::size_t Cut = std::min(Mark - BeforeColumn, Line.size());
    Line.remove_prefix(Cut);
    Mark -= Cut;
  }
  std::string Shown(Line.substr(0, MaxExcerpt));
  std::replace_if(
      Shown.begin(), Shown.end(),
      [](unsigned char Character) { return Character < ' '; }, ' ');
  const std::string Number = std::to_string(What.Line);
  const std::string Margin(Number.size(), ' ');
  return Margin + " |\n" + Number + " | " + Shown + "\n" + Margin + " | " +
         std::string(Mark, ' ') + "^\n";
}

} // namespace

std::string format(const remarks &Remarks, std::string_view Text) {
  std::string Result;
  for (const remark &Remark : Remarks) {
    const finding &What = Remark.What;
    Result += std::string(toText(Remark.Severity)) + "[" + Remark.Code +
              "]: " + (What.Path.empty() ? "" : What.Path + ": ") +
              What.Message + "\n";
    if (What.Line != 0) {
      Result += " --> " + What.Source + ":" + std::to_string(What.Line) + ":" +
                std::to_string(What.Column) + "\n" + excerpt(What, Text);
    }
    if (!Remark.Effect.empty()) {
      Result += " = effect: " + Remark.Effect + "\n";
    }
    Result += "\n";
  }
  return Result;
}

std::string formatJson(const remarks &Remarks) {
  nlohmann::ordered_json List = nlohmann::ordered_json::array();
  for (const remark &Remark : Remarks) {
    List.push_back({{"severity", toText(Remark.Severity)},
                    {"code", Remark.Code},
                    {"source", Remark.What.Source},
                    {"line", Remark.What.Line},
                    {"column", Remark.What.Column},
                    {"path", Remark.What.Path},
                    {"message", Remark.What.Message},
                    {"effect", Remark.Effect}});
  }
  // Texts come from a file and may be no valid UTF-8.
  return nlohmann::ordered_json{{"findings", List}}.dump(
      -1, ' ', false, nlohmann::ordered_json::error_handler_t::replace);
}

} // namespace crocuswood::config_check
