#include "job_request_reader.h"

#include <crocuswood/http.h>

#include <array>
#include <utility>

namespace crocuswood::http {

namespace {

struct code_status {
  failure_code Code;
  unsigned Status;
};

constexpr unsigned StatusOk = 200;
constexpr unsigned StatusInternalError = 500;
constexpr std::array<code_status, 16> Statuses = {{
    {failure_code::InvalidRequest, 400},
    {failure_code::UnknownClass, 404},
    {failure_code::UnknownTeam, 404},
    {failure_code::KeyRequired, 400},
    {failure_code::KeyReused, 422},
    {failure_code::EarlierAttempt, 409},
    {failure_code::Overloaded, 503},
    {failure_code::QuotaExceeded, 429},
    {failure_code::NoEndpoint, 422},
    {failure_code::StoreUnavailable, 503},
    {failure_code::DeadlineExceeded, 504},
    {failure_code::Cancelled, 409},
    {failure_code::TaskFailed, 502},
    {failure_code::EndpointLost, 502},
    {failure_code::NotReady, 503},
    {failure_code::Stopping, 503},
}};

std::string writeResults(const job_results &Results) {
  std::size_t Size = 0;
  for (const payload &Output : Results.Outputs) {
    Size += Output.getBytes().size() + 1;
  }
  std::string Text;
  Text.reserve(Size + 64);
  Text += "\"results\":[";
  const char *Separator = "";
  for (const payload &Output : Results.Outputs) {
    Text += Separator;
    Text += Output.getBytes().empty() ? "null" : Output.getBytes();
    Separator = ",";
  }
  Text += ']';
  return Text;
}

std::string writeFailure(const job_failure &Failure) {
  std::string Text = "\"error\":\"" + toString(Failure.Code) +
                     "\",\"certainty\":\"" + toString(Failure.Certainty) +
                     "\",\"reason\":" + toJsonString(Failure.Reason);
  if (Failure.RetryAfter) {
    const auto Milliseconds =
        std::chrono::ceil<std::chrono::milliseconds>(*Failure.RetryAfter);
    Text += ",\"retry_after_ms\":" + std::to_string(Milliseconds.count());
  }
  if (Failure.Task) {
    Text += ",\"task\":" + std::to_string(*Failure.Task);
  }
  return Text;
}

} // namespace

checked<job_request> parseJobRequest(std::string_view Body) {
  return job_request_reader(Body).read();
}

std::string writeJobAnswer(const job_answer &Answer) {
  std::string Text = "{";
  if (Answer.Job) {
    Text += "\"job\":\"" + toString(*Answer.Job) + "\",";
  }
  if (const auto *Results = std::get_if<job_results>(&Answer.Outcome)) {
    return Text + writeResults(*Results) + '}';
  }
  return Text + writeFailure(std::get<job_failure>(Answer.Outcome)) + '}';
}

unsigned statusOf(const job_outcome &Outcome) {
  const auto *Failure = std::get_if<job_failure>(&Outcome);
  if (Failure == nullptr) {
    return StatusOk;
  }
  for (const code_status &Entry : Statuses) {
    if (Entry.Code == Failure->Code) {
      return Entry.Status;
    }
  }
  return StatusInternalError;
}

} // namespace crocuswood::http
