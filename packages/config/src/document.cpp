#include "json_place.h"
#include "object_reader.h"

#include <crocuswood/config.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace crocuswood::config {

namespace {

constexpr duration LeastAnswerWithin = std::chrono::milliseconds(1);
constexpr duration GreatestAnswerWithin = std::chrono::hours(24);
constexpr double LeastQuantile = 0.01;
constexpr double GreatestQuantile = 0.99999;
constexpr double GreatestTaskStarts = 1e9;
constexpr std::uint64_t GreatestPriority = 1'000;
constexpr std::uint64_t GreatestAttempts = 100;
constexpr double GreatestRunTimeFactor = 100;
constexpr double GreatestUsefulTargets = 1'000;

// Largest whole number that every JSON reader keeps exactly.
constexpr std::uint64_t MaxExactWhole = (1ULL << 53U) - 1;

nlohmann::ordered_json toJson(const class_spec &Value) {
  nlohmann::ordered_json Object;
  Object["name"] = Value.Name;
  Object["answer_within"] = formatDuration(Value.AnswerWithin);
  Object["quantile"] = Value.Quantile;
  Object["refuse_at_most"] = Value.RefuseAtMost;
  Object["idempotent"] = Value.Idempotent;
  Object["memory_bytes"] = Value.MemoryBytes;
  Object["accelerators"] = Value.Accelerators;
  // Members that most classes leave at their defaults are left out.
  const class_spec Default;
  const auto Add = [&Object](const char *Key, const auto &Member,
                             const auto &Usual) {
    if (Member != Usual) {
      Object[Key] = Member;
    }
  };
  Add("priority", Value.Priority, Default.Priority);
  Add("max_attempts", Value.MaxAttempts, Default.MaxAttempts);
  Add("run_time_factor", Value.RunTimeFactor, Default.RunTimeFactor);
  Add("useful_targets", Value.UsefulTargets, Default.UsefulTargets);
  Add("pool", Value.Pool, Default.Pool);
  Add("host", Value.Host, Default.Host);
  Add("path_prefix", Value.PathPrefix, Default.PathPrefix);
  return Object;
}

nlohmann::ordered_json toJson(const team_spec &Value) {
  nlohmann::ordered_json Object;
  Object["name"] = Value.Name;
  Object["task_starts_per_second"] = Value.TaskStartsPerSecond;
  return Object;
}

class_spec readClass(object_reader Reader) {
  class_spec Value;
  Reader.readName("name", Value.Name);
  Reader.readDuration("answer_within", Value.AnswerWithin, LeastAnswerWithin,
                      GreatestAnswerWithin);
  Reader.readNumber("quantile", Value.Quantile, LeastQuantile,
                    GreatestQuantile);
  Reader.readNumber("refuse_at_most", Value.RefuseAtMost, 0, 1);
  Reader.readFlag("idempotent", Value.Idempotent);
  Reader.readWhole("memory_bytes", Value.MemoryBytes, MaxExactWhole);
  std::uint64_t Accelerators = 0;
  Reader.readWhole("accelerators", Accelerators,
                   std::numeric_limits<std::uint32_t>::max());
  Value.Accelerators = static_cast<std::uint32_t>(Accelerators);
  std::uint64_t Priority = 0;
  Reader.readWhole("priority", Priority, GreatestPriority);
  Value.Priority = static_cast<std::uint32_t>(Priority);
  std::uint64_t MaxAttempts = 1;
  Reader.readWhole("max_attempts", MaxAttempts, GreatestAttempts);
  Value.MaxAttempts = static_cast<std::uint32_t>(MaxAttempts);
  Reader.readNumber("run_time_factor", Value.RunTimeFactor, 0,
                    GreatestRunTimeFactor);
  Reader.readNumber("useful_targets", Value.UsefulTargets, 0,
                    GreatestUsefulTargets);
  Reader.readText("pool", Value.Pool);
  Reader.readText("host", Value.Host);
  Reader.readText("path_prefix", Value.PathPrefix);
  Reader.finish();
  return Value;
}

team_spec readTeam(object_reader Reader) {
  team_spec Value;
  Reader.readName("name", Value.Name);
  Reader.readNumber("task_starts_per_second", Value.TaskStartsPerSecond, 0,
                    GreatestTaskStarts);
  Reader.finish();
  return Value;
}

// Reads the list below Key into a map by name; a name that stands twice is a
// fault.
template <class Spec>
void readSpecs(object_reader &Reader, const char *Key,
               const std::string &Source, findings &Faults,
               Spec (*Read)(object_reader),
               std::map<std::string, Spec> &Target) {
  std::size_t Index = 0;
  for (const nlohmann::json &Item : Reader.readList(Key)) {
    const std::string Path =
        std::string(Key) + "[" + std::to_string(Index++) + "]";
    Spec Value = Read(object_reader(Item, Path, Source, Faults));
    const std::string Name = Value.Name;
    if (Name.empty()) {
      continue; // Already reported.
    }
    if (!Target.emplace(Name, std::move(Value)).second) {
      Reader.addFault(Path + ".name", "This name stands here a second time.");
    }
  }
}

template <class Spec>
checked<Spec> parseSpec(std::string_view Text, const std::string &Source,
                        Spec (*Read)(object_reader)) {
  auto Document = parseDocument(Text, Source);
  if (auto *Faults = std::get_if<findings>(&Document)) {
    return std::move(*Faults);
  }
  findings Faults;
  Spec Value = Read(
      object_reader(std::get<nlohmann::json>(Document), "", Source, Faults));
  if (!Faults.empty()) {
    return Faults;
  }
  return Value;
}

} // namespace

std::string write(const configuration &Value) {
  nlohmann::ordered_json Document;
  Document["revision"] = Value.Revision;
  Document["change_id"] = Value.ChangeId;
  Document["classes"] = nlohmann::ordered_json::array();
  for (const auto &Entry : Value.Classes) {
    Document["classes"].push_back(toJson(Entry.second));
  }
  Document["teams"] = nlohmann::ordered_json::array();
  for (const auto &Entry : Value.Teams) {
    Document["teams"].push_back(toJson(Entry.second));
  }
  // A change id comes from outside and may be no valid UTF-8.
  return Document.dump(-1, ' ', false,
                       nlohmann::ordered_json::error_handler_t::replace);
}

std::string write(const class_spec &Value) { return toJson(Value).dump(); }

std::string write(const team_spec &Value) { return toJson(Value).dump(); }

checked<configuration> parseConfiguration(std::string_view Text,
                                          const std::string &Source) {
  auto Document = parseDocument(Text, Source);
  if (auto *Faults = std::get_if<findings>(&Document)) {
    return std::move(*Faults);
  }
  findings Faults;
  object_reader Reader(std::get<nlohmann::json>(Document), "", Source, Faults);
  configuration Value;
  Reader.readWhole("revision", Value.Revision, MaxExactWhole);
  Reader.readText("change_id", Value.ChangeId);
  readSpecs(Reader, "classes", Source, Faults, readClass, Value.Classes);
  readSpecs(Reader, "teams", Source, Faults, readTeam, Value.Teams);
  Reader.finish();
  if (!Faults.empty()) {
    return Faults;
  }
  return Value;
}

checked<class_spec> parseClass(std::string_view Text,
                               const std::string &Source) {
  return parseSpec<class_spec>(Text, Source, readClass);
}

checked<team_spec> parseTeam(std::string_view Text, const std::string &Source) {
  return parseSpec<team_spec>(Text, Source, readTeam);
}

} // namespace crocuswood::config
