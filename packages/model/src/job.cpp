#include "name_table.h"

#include <crocuswood/model.h>

namespace crocuswood {

namespace {

// In the order of failure_code.
constexpr std::array<std::string_view, 17> CodeNames = {
    "invalid_request",   "unknown_class",     "unknown_team",
    "key_required",      "key_reused",        "earlier_attempt",
    "overloaded",        "quota_exceeded",    "no_endpoint",
    "store_unavailable", "deadline_exceeded", "cancelled",
    "task_failed",       "endpoint_lost",     "not_ready",
    "stopping",          "superseded",
};
static_assert(CodeNames.size() ==
              static_cast<std::size_t>(failure_code::Superseded) + 1);

std::uint64_t digestNumber(std::uint64_t Number, std::uint64_t Seed) {
  const char *Bytes = reinterpret_cast<const char *>(&Number);
  return digest(std::string_view(Bytes, sizeof(Number)), Seed);
}

std::uint64_t digestText(std::string_view Text, std::uint64_t Seed) {
  // The length keeps neighbouring texts apart.
  return digest(Text, digestNumber(Text.size(), Seed));
}

} // namespace

std::string toString(failure_code Code) {
  return std::string(CodeNames.at(static_cast<std::size_t>(Code)));
}

std::optional<failure_code> parseFailureCode(std::string_view Text) {
  return findName<failure_code>(CodeNames, Text);
}

std::string toString(run_certainty Certainty) {
  return Certainty == run_certainty::NotRun ? "not_run" : "may_have_run";
}

std::uint64_t digest(const job_request &Request) {
  std::uint64_t Sum = digestText(Request.Class, 0);
  Sum = digestText(Request.Team, Sum);
  Sum = digestNumber(Request.Tasks.size(), Sum);
  for (const task_request &Task : Request.Tasks) {
    Sum = digestText(Task.Input.getBytes(), Sum);
  }
  return Sum;
}

std::uint64_t digest(const job_outcome &Outcome) {
  if (const auto *Results = std::get_if<job_results>(&Outcome)) {
    std::uint64_t Sum = digestNumber(Results->Outputs.size(), 1);
    for (const payload &Output : Results->Outputs) {
      Sum = digestText(Output.getBytes(), Sum);
    }
    return Sum;
  }
  const auto &Failure = std::get<job_failure>(Outcome);
  std::uint64_t Sum = digestNumber(static_cast<std::uint64_t>(Failure.Code), 2);
  Sum = digestNumber(static_cast<std::uint64_t>(Failure.Certainty), Sum);
  return digestText(Failure.Reason, Sum);
}

} // namespace crocuswood
