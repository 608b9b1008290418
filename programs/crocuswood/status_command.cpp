#include "status_command.h"

#include "command_options.h"
#include "json_text.h"
#include "operators_api.h"
#include "text_table.h"

#include <nlohmann/json.hpp>

#include <iomanip>
#include <ostream>
#include <sstream>

namespace crocuswood::command_line {

namespace {

using json = nlohmann::json;

command_options describeOptions() {
  command_options Options("status [options]",
                          "Prints every process, its state and its load. It "
                          "exits with 3 if one gave no\nanswer.");
  Options.addOperators();
  Options.addFlag("json", "Print JSON.");
  return Options;
}

/// A process and what it answered.
struct process_status {
  process_entry Process;
  json Document;       ///< Null without an answer.
  std::string Failure; ///< Why there is none.
};

// Reads values that may be missing in another version's answer.
std::string show(const json &Document, const json::json_pointer &Place) {
  if (!Document.contains(Place)) {
    return "";
  }
  const json &Value = Document[Place];
  return Value.is_string() ? Value.get<std::string>() : Value.dump();
}

std::string showState(const process_status &Status) {
  if (Status.Document.is_null()) {
    return "NO ANSWER";
  }
  if (show(Status.Document, json::json_pointer("/stopping")) == "true") {
    return "stopping";
  }
  if (Status.Process.Role != "entry") {
    const std::string State =
        show(Status.Document, json::json_pointer("/endpoint/state"));
    return "endpoint " + State;
  }
  return show(Status.Document, json::json_pointer("/ready")) == "true"
             ? "ready"
             : "not ready";
}

std::uint64_t addUp(const json &List, const char *Key) {
  std::uint64_t Sum = 0;
  for (const json &Item : List) {
    if (Item.is_object() && Item.contains(Key) &&
        Item[Key].is_number_unsigned()) {
      Sum += Item[Key].get<std::uint64_t>();
    }
  }
  return Sum;
}

std::string showLoad(const process_status &Status) {
  const json &Document = Status.Document;
  if (Document.is_null()) {
    return "";
  }
  if (Status.Process.Role != "entry") {
    return show(Document, json::json_pointer("/load/running")) + " of " +
           show(Document, json::json_pointer("/endpoint/slots")) + " slots, " +
           show(Document, json::json_pointer("/load/queued")) + " queued";
  }
  if (!Document.contains("classes") || !Document["classes"].is_object()) {
    return "";
  }
  const json &Classes = Document["classes"];
  return std::to_string(addUp(Classes, "waiting_tasks")) + " waiting, " +
         std::to_string(addUp(Classes, "placed_tasks")) + " placed";
}

void printProcesses(const std::vector<process_status> &All, std::ostream &Out) {
  text_table Table(
      {"PROCESS", "ROLE", "ZONE", "OPERATORS", "STATE", "REVISION", "TASKS"});
  for (const process_status &Status : All) {
    Table.add(
        {Status.Process.Name, Status.Process.Role, Status.Process.Zone,
         toString(Status.Process.Operators), showState(Status),
         show(Status.Document, json::json_pointer("/configuration_revision")),
         showLoad(Status)});
  }
  Table.print(Out);
}

void printClasses(const std::vector<process_status> &All, std::ostream &Out) {
  const std::vector<const char *> Keys = {"accepted", "refused", "completed",
                                          "failed", "missed"};
  std::map<std::string, std::vector<std::uint64_t>> Sums;
  for (const process_status &Status : All) {
    if (!Status.Document.is_object() || !Status.Document.contains("classes") ||
        !Status.Document["classes"].is_object()) {
      continue;
    }
    for (const auto &Item : Status.Document["classes"].items()) {
      std::vector<std::uint64_t> &Sum = Sums[Item.key()];
      Sum.resize(Keys.size());
      for (std::size_t Index = 0; Index < Keys.size(); ++Index) {
        Sum[Index] += addUp(json::array({Item.value()}), Keys[Index]);
      }
    }
  }
  if (Sums.empty()) {
    return;
  }
  text_table Table(
      {"CLASS", "ACCEPTED", "REFUSED", "COMPLETED", "FAILED", "LATE"});
  for (const auto &[Name, Sum] : Sums) {
    std::vector<std::string> Cells{Name};
    for (const std::uint64_t Value : Sum) {
      Cells.push_back(std::to_string(Value));
    }
    Table.add(std::move(Cells));
  }
  Out << "\n";
  Table.print(Out);
}

std::string showFigure(const json &Pair, const char *Key) {
  if (!Pair.contains(Key) || !Pair[Key].is_number()) {
    return "";
  }
  std::ostringstream Text;
  Text << std::fixed << std::setprecision(2) << Pair[Key].get<double>();
  return Text.str();
}

// Every entry has a view of its own, since it learns from the ends of its own
// tasks.
void printInterference(const std::vector<process_status> &All,
                       std::ostream &Out) {
  text_table Table({"ENTRY", "CLASS", "BESIDE", "SLOWDOWN", "LOWER", "UPPER",
                    "RUNS", "BELIEVED"});
  bool HasPairs = false;
  for (const process_status &Status : All) {
    if (!Status.Document.is_object() ||
        !Status.Document.contains("interference")) {
      continue;
    }
    for (const json &Pair : Status.Document["interference"]) {
      if (!Pair.is_object()) {
        continue;
      }
      HasPairs = true;
      Table.add({Status.Process.Name, show(Pair, json::json_pointer("/class")),
                 show(Pair, json::json_pointer("/neighbour")),
                 showFigure(Pair, "slowdown"), showFigure(Pair, "lower"),
                 showFigure(Pair, "upper"), showFigure(Pair, "runs"),
                 show(Pair, json::json_pointer("/believed")) == "true" ? "yes"
                                                                       : "no"});
    }
  }
  if (HasPairs) {
    Out << "\n";
    Table.print(Out);
  }
}

void printJson(const std::vector<process_status> &All, std::ostream &Out) {
  json List = json::array();
  for (const process_status &Status : All) {
    json Item = {{"name", Status.Process.Name},
                 {"role", Status.Process.Role},
                 {"zone", Status.Process.Zone},
                 {"operators", toString(Status.Process.Operators)},
                 {"answered", !Status.Document.is_null()},
                 {"status", Status.Document}};
    if (!Status.Failure.empty()) {
      Item["reason"] = Status.Failure;
    }
    List.push_back(std::move(Item));
  }
  Out << json({{"processes", List}}).dump() << "\n";
}

std::vector<process_status>
gather(const operators_api &Api, const std::vector<process_entry> &Processes) {
  const auto Bodies = Api.readFromAll(Processes, "/v1/status");
  std::vector<process_status> All;
  for (std::size_t Index = 0; Index < Bodies.size(); ++Index) {
    process_status Status{.Process = Processes[Index]};
    if (const auto *Failure = std::get_if<api_failure>(&Bodies[Index])) {
      Status.Failure = Failure->Message;
    } else {
      const auto &Text = std::get<std::string>(Bodies[Index]);
      const json Document = json::parse(Text, nullptr, false);
      Status.Document = Document.is_object() ? Document : json();
      Status.Failure = Document.is_object() ? "" : "The answer is no status.";
    }
    All.push_back(std::move(Status));
  }
  return All;
}

} // namespace

exit_code status_command::run(const std::vector<std::string> &Arguments,
                              run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const auto Entry = Options.findOperators(Values, Context);
  if (!Entry) {
    return exit_code::Usage;
  }
  const operators_api Api(Context.Http, *Entry);
  auto Listed = Api.listProcesses();
  if (const auto *Failure = std::get_if<api_failure>(&Listed)) {
    Context.Err << "crocuswood: " << Failure->Message << "\n";
    return Failure->Code;
  }
  const auto All = gather(Api, std::get<std::vector<process_entry>>(Listed));
  if (Values.has("json")) {
    printJson(All, Context.Out);
  } else {
    printProcesses(All, Context.Out);
    printClasses(All, Context.Out);
    printInterference(All, Context.Out);
  }
  exit_code Code = exit_code::Done;
  for (const process_status &Status : All) {
    if (Status.Document.is_null()) {
      Context.Err << "crocuswood: Without the status of " << Status.Process.Name
                  << ": " << Status.Failure << "\n";
      Code = exit_code::Unreachable;
    }
  }
  return Code;
}

} // namespace crocuswood::command_line
