#include "class_command.h"

#include "text_table.h"

#include <crocuswood/config.h>

#include <nlohmann/json.hpp>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

constexpr double Percent = 100;

std::string formatPercent(double Share) {
  return nlohmann::json(Share * Percent).dump() + "%";
}

} // namespace

void class_command::addSetOptions(command_options &Options) const {
  Options.addText("answer-within",
                  "Response time to meet, such as 400ms; needed for a new "
                  "class.");
  Options.addNumber("quantile",
                    "Share of the answers that should meet it, such as 0.99.");
  Options.addNumber("refuse-at-most",
                    "Share of the jobs that may be refused under load, 0 to "
                    "1.");
  Options.addText("idempotent", "yes or no. Jobs of a class that is not "
                                "idempotent need a key and run at most once.");
  Options.addWhole("memory-bytes", "Memory that one task needs.");
  Options.addWhole("accelerators", "Accelerators that one task needs.");
}

bool class_command::hasSetOptions(const option_values &Values) const {
  for (const char *Name : {"answer-within", "quantile", "refuse-at-most",
                           "idempotent", "memory-bytes", "accelerators"}) {
    if (Values.has(Name)) {
      return true;
    }
  }
  return false;
}

std::optional<std::string>
class_command::findDocument(const configuration &Current,
                            const std::string &Name) const {
  const auto Position = Current.Classes.find(Name);
  if (Position == Current.Classes.end()) {
    return std::nullopt;
  }
  return config::write(Position->second);
}

checked<std::string>
class_command::makeDocument(const configuration &Current,
                            const std::string &Name,
                            const option_values &Values) const {
  nlohmann::json Document = {{"name", Name}};
  if (const auto Existing = findDocument(Current, Name)) {
    Document = nlohmann::json::parse(*Existing);
  }
  if (Values.has("answer-within")) {
    Document["answer_within"] = Values.getText("answer-within");
  }
  if (Values.has("quantile")) {
    Document["quantile"] = Values.get<double>("quantile");
  }
  if (Values.has("refuse-at-most")) {
    Document["refuse_at_most"] = Values.get<double>("refuse-at-most");
  }
  const std::string Idempotent = Values.getText("idempotent");
  if (!Idempotent.empty() && Idempotent != "yes" && Idempotent != "no") {
    return findings{{.Source = "class " + Name,
                     .Path = "idempotent",
                     .Message = "yes or no is expected."}};
  }
  if (!Idempotent.empty()) {
    Document["idempotent"] = Idempotent == "yes";
  }
  if (Values.has("memory-bytes")) {
    Document["memory_bytes"] = Values.get<std::uint64_t>("memory-bytes");
  }
  if (Values.has("accelerators")) {
    Document["accelerators"] = Values.get<std::uint64_t>("accelerators");
  }
  auto Parsed = parseDocument(Document.dump(), "class " + Name);
  if (auto *Faults = std::get_if<findings>(&Parsed)) {
    return std::move(*Faults);
  }
  return std::get<std::pair<std::string, std::string>>(Parsed).second;
}

checked<std::pair<std::string, std::string>>
class_command::parseDocument(const std::string &Text,
                             const std::string &Source) const {
  auto Parsed = config::parseClass(Text, Source);
  if (auto *Faults = std::get_if<findings>(&Parsed)) {
    return std::move(*Faults);
  }
  const class_spec &Spec = std::get<class_spec>(Parsed);
  return std::pair(Spec.Name, config::write(Spec));
}

void class_command::printTable(const configuration &Current,
                               std::ostream &Out) const {
  text_table Table({"CLASS", "ANSWER WITHIN", "FOR", "REFUSE AT MOST",
                    "IDEMPOTENT", "MEMORY", "ACCELERATORS"});
  for (const auto &[Name, Spec] : Current.Classes) {
    Table.add({Name, formatDuration(Spec.AnswerWithin),
               formatPercent(Spec.Quantile), formatPercent(Spec.RefuseAtMost),
               Spec.Idempotent ? "yes" : "no", std::to_string(Spec.MemoryBytes),
               std::to_string(Spec.Accelerators)});
  }
  Table.print(Out);
}

std::vector<std::string>
class_command::listDocuments(const configuration &Current) const {
  std::vector<std::string> Documents;
  for (const auto &Entry : Current.Classes) {
    Documents.push_back(config::write(Entry.second));
  }
  return Documents;
}

} // namespace crocuswood::command_line
