#include "submit_command.h"

#include "command_options.h"
#include "json_text.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

using json = nlohmann::json;

constexpr const char *CallersVariable = "CROCUSWOOD_CALLERS";
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusBadRequest = 400;
constexpr duration DefaultTimeLimit = std::chrono::minutes(10);

command_options describeOptions() {
  command_options Options(
      "submit --callers IP:PORT --class NAME --team NAME --task JSON... "
      "[options]",
      "Submits one job and waits for its answer. It exits with 1 if the job\n"
      "was refused or failed, and with 3 if there was no answer; then the job\n"
      "may have run.");
  Options.addText("callers", "IP:PORT of an entry's callers' port; by default "
                             "from the variable CROCUSWOOD_CALLERS.");
  Options.addText("class", "Class of the job.");
  Options.addText("team", "Team that submits it.");
  Options.addTexts("task", "Input of a task as JSON; once for each task.");
  Options.addText("deadline", "When the answer becomes useless, such as 2s.");
  Options.addText("key", "Idempotency key.");
  Options.addText("file", "The whole job as a JSON document instead; - is the "
                          "standard input.");
  Options.addText("reference", "Text by which the job can be cancelled.");
  Options.addText("time-limit", "How long to wait, by default 10m.");
  Options.addFlag("json", "Print the answer as the entry sent it.");
  return Options;
}

std::optional<peer_address> findCallers(const command_options &Options,
                                        const option_values &Values,
                                        run_context &Context) {
  std::string Text = Values.getText("callers");
  const auto Variable = Context.Environment.find(CallersVariable);
  if (Text.empty() && Variable != Context.Environment.end()) {
    Text = Variable->second;
  }
  auto Address = parsePeerAddress(Text);
  if (!Address) {
    Options.reportUsage(Context, "State an entry with --callers IP:PORT.");
  }
  return Address;
}

// \returns the job as the options describe it, or what is wrong with them.
std::variant<json, std::string> makeJob(const option_values &Values) {
  json Job = {{"class", Values.getText("class")},
              {"team", Values.getText("team")},
              {"tasks", json::array()}};
  for (const std::string &Text : Values.getTexts("task")) {
    json Input = json::parse(Text, nullptr, false);
    if (Input.is_discarded()) {
      return "The task '" + Text + "' is not JSON.";
    }
    Job["tasks"].push_back({{"input", std::move(Input)}});
  }
  if (!Values.has("class") || !Values.has("team") || Job["tasks"].empty()) {
    return std::string("State --class, --team and --task, or --file.");
  }
  if (Values.has("deadline")) {
    Job["deadline"] = Values.getText("deadline");
  }
  if (Values.has("key")) {
    Job["idempotency_key"] = Values.getText("key");
  }
  return Job;
}

std::variant<std::string, exit_code> chooseBody(const command_options &Options,
                                                const option_values &Values,
                                                run_context &Context) {
  if (!Values.has("file")) {
    auto Job = makeJob(Values);
    if (const auto *Fault = std::get_if<std::string>(&Job)) {
      return Options.reportUsage(Context, *Fault);
    }
    return std::get<json>(Job).dump();
  }
  for (const char *Name : {"class", "team", "task", "deadline", "key"}) {
    if (Values.has(Name)) {
      return Options.reportUsage(Context,
                                 "--file stands for the whole job; leave --" +
                                     std::string(Name) + " out.");
    }
  }
  auto Text = Context.Files.read(Values.getText("file"));
  if (!Text) {
    Context.Err << "crocuswood: " << Values.getText("file")
                << " can't be read.\n";
    return exit_code::Usage;
  }
  return std::move(*Text);
}

void printResults(const std::string &Body, std::ostream &Out) {
  const json Document = json::parse(Body, nullptr, false);
  if (!Document.is_object() || !Document.contains("results")) {
    Out << Body << "\n";
    return;
  }
  Out << "Job " << textOf(Document, "job") << " is complete.\n";
  for (const json &Result : Document["results"]) {
    Out << Result.dump() << "\n";
  }
}

void printFailure(const std::string &Body, std::ostream &Err) {
  const json Document = json::parse(Body, nullptr, false);
  Err << "crocuswood: The job has no results: " << describeError(Body) << "\n";
  const std::string Job = textOf(Document, "job");
  if (!Job.empty()) {
    Err << "Job: " << Job << "\n";
  }
  const std::string Certainty = textOf(Document, "certainty");
  if (!Certainty.empty()) {
    Err << "Certainty: " << Certainty << "\n";
  }
  const std::uint64_t RetryAfter = wholeOf(Body, "retry_after_ms");
  if (RetryAfter != 0) {
    Err << "Try again after " << RetryAfter << " ms.\n";
  }
}

exit_code report(const http::plain_reply &Reply, bool AsJson,
                 run_context &Context) {
  using kind = http::plain_reply::kind;
  if (Reply.Kind != kind::Answered) {
    const bool NotRun = Reply.Kind == kind::NotWritten;
    Context.Err << "crocuswood: No answer: " << Reply.Reason << ". The job "
                << (NotRun ? "was not run" : "may have run") << ".\n";
    return exit_code::Unreachable;
  }
  const http::plain_response &Response = Reply.Response;
  if (AsJson) {
    Context.Out << Response.Body << "\n";
  } else if (Response.Status == StatusOk) {
    printResults(Response.Body, Context.Out);
  } else {
    printFailure(Response.Body, Context.Err);
  }
  if (Response.Status == StatusOk) {
    return exit_code::Done;
  }
  return Response.Status == StatusBadRequest ? exit_code::Usage
                                             : exit_code::Failed;
}

} // namespace

exit_code submit_command::run(const std::vector<std::string> &Arguments,
                              run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const auto TimeLimit = Values.has("time-limit")
                             ? parseDuration(Values.getText("time-limit"))
                             : DefaultTimeLimit;
  if (!TimeLimit) {
    return Options.reportUsage(Context, "--time-limit is no span of time.");
  }
  auto Body = chooseBody(Options, Values, Context);
  if (const auto *Code = std::get_if<exit_code>(&Body)) {
    return *Code;
  }
  const auto Callers = findCallers(Options, Values, Context);
  if (!Callers) {
    return exit_code::Usage;
  }
  http::plain_request Request{.Method = "POST",
                              .Path = "/v1/jobs",
                              .Body = std::get<std::string>(std::move(Body))};
  if (Values.has("reference")) {
    Request.Headers["Crocuswood-Reference"] = Values.getText("reference");
  }
  return report(Context.Http.send({.Server = *Callers,
                                   .Request = std::move(Request),
                                   .TimeLimit = *TimeLimit}),
                Values.has("json"), Context);
}

} // namespace crocuswood::command_line
