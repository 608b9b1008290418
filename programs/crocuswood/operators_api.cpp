#include "operators_api.h"

#include "json_text.h"

#include <crocuswood/config.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace crocuswood::command_line {

namespace {

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusConflict = 409;
constexpr unsigned StatusUnavailable = 503;

// A change waits for the table service.
constexpr duration ChangeTimeLimit = std::chrono::seconds(30);
// A time line may be long.
constexpr duration GatherTimeLimit = std::chrono::seconds(10);

using reply_kind = http::plain_reply::kind;

api_failure noAnswer(const peer_address &Server,
                     const http::plain_reply &Reply) {
  return {.Code = exit_code::Unreachable,
          .Message =
              toString(Server) + " gave no answer: " + Reply.Reason + "."};
}

api_failure refused(const peer_address &Server,
                    const http::plain_response &Response) {
  return {.Code = exit_code::Failed,
          .Message = toString(Server) + " answered " +
                     std::to_string(Response.Status) + ": " +
                     describeError(Response.Body)};
}

api_result<std::string> takeBody(const peer_address &Server,
                                 http::plain_reply Reply) {
  if (Reply.Kind != reply_kind::Answered) {
    return noAnswer(Server, Reply);
  }
  if (Reply.Response.Status != StatusOk) {
    return refused(Server, Reply.Response);
  }
  return std::move(Reply.Response.Body);
}

std::optional<process_entry> readProcess(const nlohmann::json &Object) {
  const auto Operators = parsePeerAddress(textOf(Object, "operators"));
  if (!Operators) {
    return std::nullopt;
  }
  return process_entry{.Name = textOf(Object, "name"),
                       .Role = textOf(Object, "role"),
                       .Zone = textOf(Object, "zone"),
                       .Operators = *Operators};
}

std::optional<std::vector<process_entry>>
readProcesses(const std::string &Body) {
  const nlohmann::json Document = nlohmann::json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("processes") ||
      !Document["processes"].is_array()) {
    return std::nullopt;
  }
  std::vector<process_entry> Processes;
  for (const nlohmann::json &Object : Document["processes"]) {
    if (auto Process = readProcess(Object)) {
      Processes.push_back(std::move(*Process));
    }
  }
  return Processes;
}

// Adds what another entry knows, if it has answered.
void addProcesses(const api_result<std::string> &Body,
                  std::map<std::string, process_entry> &ByName) {
  const auto *Text = std::get_if<std::string>(&Body);
  const auto Processes = Text != nullptr ? readProcesses(*Text) : std::nullopt;
  if (!Processes) {
    return;
  }
  for (const process_entry &Process : *Processes) {
    process_entry &Known = ByName.emplace(Process.Name, Process).first->second;
    if (Known.Zone.empty()) {
      Known.Zone = Process.Zone;
    }
  }
}

change_result readUnavailable(const peer_address &Server,
                              const http::plain_response &Response) {
  const nlohmann::json Body =
      nlohmann::json::parse(Response.Body, nullptr, false);
  // Without a word on it, the change may have taken effect.
  if (Body.is_object() && Body.value("certain", nlohmann::json()) == true) {
    return api_failure{.Code = exit_code::Unreachable,
                       .Message = "The table service can't be reached; "
                                  "nothing was changed."};
  }
  return change_uncertain{.Reason = toString(Server) +
                                    " could not settle the change with the "
                                    "table service."};
}

change_result readChangeReply(const peer_address &Server,
                              const http::plain_response &Response) {
  switch (Response.Status) {
  case StatusOk:
    return change_done{.Revision = wholeOf(Response.Body, "revision")};
  case StatusConflict:
    return change_in_conflict{.CurrentRevision =
                                  wholeOf(Response.Body, "current_revision")};
  case StatusUnavailable:
    return readUnavailable(Server, Response);
  default:
    return refused(Server, Response);
  }
}

} // namespace

api_result<std::string> operators_api::get(const std::string &Path) const {
  return takeBody(
      Entry,
      Http.send({.Server = Entry, .Request = {.Method = "GET", .Path = Path}}));
}

api_result<configuration> operators_api::readConfiguration() const {
  auto Body = get("/v1/configuration");
  if (auto *Failure = std::get_if<api_failure>(&Body)) {
    return std::move(*Failure);
  }
  auto Parsed = config::parseConfiguration(
      std::get<std::string>(Body), "configuration of " + toString(Entry));
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    return api_failure{.Code = exit_code::Failed, .Message = toString(*Faults)};
  }
  return std::get<configuration>(std::move(Parsed));
}

api_result<std::vector<process_entry>> operators_api::listProcesses() const {
  auto Body = get("/v1/processes");
  if (auto *Failure = std::get_if<api_failure>(&Body)) {
    return std::move(*Failure);
  }
  const auto Known = readProcesses(std::get<std::string>(Body));
  if (!Known) {
    return api_failure{.Code = exit_code::Failed,
                       .Message = toString(Entry) +
                                  " gave no list of processes; is it an "
                                  "entry's operators' port?"};
  }
  std::map<std::string, process_entry> ByName;
  std::vector<process_entry> Entries;
  for (const process_entry &Process : *Known) {
    ByName.emplace(Process.Name, Process);
    if (Process.Role == "entry" && Process.Operators != Entry) {
      Entries.push_back(Process);
    }
  }
  // A companion keeps links to some entries only, so each of them is asked.
  for (const auto &Other : readFromAll(Entries, "/v1/processes")) {
    addProcesses(Other, ByName);
  }
  std::vector<process_entry> All;
  All.reserve(ByName.size());
  for (auto &Item : ByName) {
    All.push_back(std::move(Item.second));
  }
  return All;
}

change_result operators_api::sendChange(const change_request &Change) const {
  http::plain_request Request{.Method = Change.Method,
                              .Path = Change.Path,
                              .Query = {{"change_id", Change.ChangeId}},
                              .Body = Change.Body};
  if (Change.ExpectedRevision) {
    Request.Query["expected_revision"] =
        std::to_string(*Change.ExpectedRevision);
  }
  const http::plain_reply Reply = Http.send({.Server = Entry,
                                             .Request = std::move(Request),
                                             .TimeLimit = ChangeTimeLimit});
  if (Reply.Kind == reply_kind::NotWritten) {
    return noAnswer(Entry, Reply);
  }
  if (Reply.Kind == reply_kind::Lost) {
    return change_uncertain{.Reason = noAnswer(Entry, Reply).Message};
  }
  return readChangeReply(Entry, Reply.Response);
}

std::vector<api_result<std::string>> operators_api::readFromAll(
    const std::vector<process_entry> &Processes, const std::string &Path,
    const std::map<std::string, std::string> &Query) const {
  std::vector<http_call> Calls;
  Calls.reserve(Processes.size());
  for (const process_entry &Process : Processes) {
    Calls.push_back({.Server = Process.Operators,
                     .Request = {.Method = "GET", .Path = Path, .Query = Query},
                     .TimeLimit = GatherTimeLimit});
  }
  std::vector<http::plain_reply> Replies = Http.sendAll(Calls);
  std::vector<api_result<std::string>> Results;
  Results.reserve(Replies.size());
  for (std::size_t Index = 0; Index < Replies.size(); ++Index) {
    Results.push_back(takeBody(Calls[Index].Server, std::move(Replies[Index])));
  }
  return Results;
}

} // namespace crocuswood::command_line
