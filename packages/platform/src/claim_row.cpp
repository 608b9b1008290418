#include <crocuswood/platform.h>

#include <nlohmann/json.hpp>

namespace crocuswood::platform {

namespace {

using json = nlohmann::json;

json writeOutcome(const job_outcome &Outcome) {
  if (const auto *Results = std::get_if<job_results>(&Outcome)) {
    json Outputs = json::array();
    for (const payload &Output : Results->Outputs) {
      Outputs.push_back(std::string(Output.getBytes()));
    }
    return {{"results", std::move(Outputs)}};
  }
  const auto &Failure = std::get<job_failure>(Outcome);
  json Document = {{"error", toString(Failure.Code)},
                   {"certainty", toString(Failure.Certainty)},
                   {"reason", Failure.Reason}};
  if (Failure.Task) {
    Document["task"] = *Failure.Task;
  }
  return Document;
}

std::optional<job_outcome> parseResults(const json &Outputs) {
  job_results Results;
  for (const json &Output : Outputs) {
    if (!Output.is_string()) {
      return std::nullopt;
    }
    Results.Outputs.emplace_back(Output.get<std::string>());
  }
  return Results;
}

std::optional<job_outcome> parseOutcome(const json &Document) {
  if (!Document.is_object()) {
    return std::nullopt;
  }
  const auto Outputs = Document.find("results");
  if (Outputs != Document.end() && Outputs->is_array()) {
    return parseResults(*Outputs);
  }
  const auto Error = Document.find("error");
  if (Error == Document.end() || !Error->is_string()) {
    return std::nullopt;
  }
  const auto Code = parseFailureCode(Error->get_ref<const std::string &>());
  if (!Code) {
    return std::nullopt;
  }
  job_failure Failure{.Code = *Code, .Certainty = run_certainty::MayHaveRun};
  if (Document.value("certainty", json()) == toString(run_certainty::NotRun)) {
    Failure.Certainty = run_certainty::NotRun;
  }
  const auto Reason = Document.find("reason");
  if (Reason != Document.end() && Reason->is_string()) {
    Failure.Reason = Reason->get<std::string>();
  }
  const auto Task = Document.find("task");
  if (Task != Document.end() && Task->is_number_unsigned()) {
    Failure.Task = Task->get<std::uint32_t>();
  }
  return Failure;
}

} // namespace

std::string write(const claim_row &Claim) {
  json Document = {{"token", toString(Claim.Token)},
                   {"digest", Claim.RequestDigest}};
  if (Claim.Outcome) {
    Document["outcome"] = writeOutcome(*Claim.Outcome);
  }
  // Outputs are opaque bytes; those that are no UTF-8 must not throw here.
  return Document.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<claim_row> parseClaimRow(std::string_view Value) {
  const json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object()) {
    return std::nullopt;
  }
  const auto Token = Document.find("token");
  const auto Digest = Document.find("digest");
  if (Token == Document.end() || !Token->is_string() ||
      Digest == Document.end() || !Digest->is_number_unsigned()) {
    return std::nullopt;
  }
  const auto Holder = parseJobId(Token->get_ref<const std::string &>());
  if (!Holder) {
    return std::nullopt;
  }
  claim_row Claim{.Token = *Holder,
                  .RequestDigest = Digest->get<std::uint64_t>()};
  const auto Outcome = Document.find("outcome");
  if (Outcome != Document.end()) {
    Claim.Outcome = parseOutcome(*Outcome);
  }
  return Claim;
}

} // namespace crocuswood::platform
