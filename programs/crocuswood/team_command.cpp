#include "team_command.h"

#include "text_table.h"

#include <crocuswood/config.h>

#include <nlohmann/json.hpp>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

void team_command::addSetOptions(command_options &Options) const {
  Options.addNumber("task-starts-per-second",
                    "Quota over all entries together; 0 means no limit.");
}

bool team_command::hasSetOptions(const option_values &Values) const {
  return Values.has("task-starts-per-second");
}

std::optional<std::string>
team_command::findDocument(const configuration &Current,
                           const std::string &Name) const {
  const auto Position = Current.Teams.find(Name);
  if (Position == Current.Teams.end()) {
    return std::nullopt;
  }
  return config::write(Position->second);
}

checked<std::string>
team_command::makeDocument(const configuration &Current,
                           const std::string &Name,
                           const option_values &Values) const {
  nlohmann::json Document = {{"name", Name}};
  if (const auto Existing = findDocument(Current, Name)) {
    Document = nlohmann::json::parse(*Existing);
  }
  if (Values.has("task-starts-per-second")) {
    Document["task_starts_per_second"] =
        Values.get<double>("task-starts-per-second");
  }
  auto Parsed = parseDocument(Document.dump(), "team " + Name);
  if (auto *Faults = std::get_if<findings>(&Parsed)) {
    return std::move(*Faults);
  }
  return std::get<std::pair<std::string, std::string>>(Parsed).second;
}

checked<std::pair<std::string, std::string>>
team_command::parseDocument(const std::string &Text,
                            const std::string &Source) const {
  auto Parsed = config::parseTeam(Text, Source);
  if (auto *Faults = std::get_if<findings>(&Parsed)) {
    return std::move(*Faults);
  }
  const team_spec &Spec = std::get<team_spec>(Parsed);
  return std::pair(Spec.Name, config::write(Spec));
}

void team_command::printTable(const configuration &Current,
                              std::ostream &Out) const {
  text_table Table({"TEAM", "TASK STARTS A SECOND"});
  for (const auto &[Name, Spec] : Current.Teams) {
    const bool Unlimited = Spec.TaskStartsPerSecond == 0;
    Table.add({Name, Unlimited
                         ? "no limit"
                         : nlohmann::json(Spec.TaskStartsPerSecond).dump()});
  }
  Table.print(Out);
}

std::vector<std::string>
team_command::listDocuments(const configuration &Current) const {
  std::vector<std::string> Documents;
  for (const auto &Entry : Current.Teams) {
    Documents.push_back(config::write(Entry.second));
  }
  return Documents;
}

} // namespace crocuswood::command_line
