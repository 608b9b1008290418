#include "config_command.h"

#include "command_options.h"
#include "json_text.h"
#include "operators_api.h"

#include <crocuswood/config.h>
#include <crocuswood/config_check.h>
#include <crocuswood/site.h>

#include <nlohmann/json.hpp>

#include <charconv>
#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

using nlohmann::json;

command_options describeOptions() {
  command_options Options(
      "config check FILE [options]",
      "Prints what is wrong or doubtful in a whole configuration, with its "
      "place.\nFILE is what /v1/configuration answers, or the platform's "
      "document with routes;\n- is the standard input. It exits with 2 if "
      "there is an error, and with 1 if\nthere is a warning.");
  Options.addOperators();
  Options.addText("against",
                  "IP:PORT of an entry, or the revision in force at the one "
                  "of --operators: also\nsays what differs from what is in "
                  "force there, and checks it against the\nendpoints there.");
  Options.addFlag("json", "Print JSON.");
  Options.setPositional("words", 2, 2);
  return Options;
}

struct document {
  std::optional<configuration> Value; ///< Absent if it would be refused whole.
  config_check::remarks Remarks;
};

document readDocument(const std::string &Text, const std::string &File,
                      const config_check::place_map &Places) {
  document Result;
  findings Faults;
  // Only the platform's document has routes.
  auto Parsed = Places.contains("routes")
                    ? site::parseOperatorDocument(Text, &Faults)
                    : config::parseConfiguration(Text, File);
  if (auto *Whole = std::get_if<findings>(&Parsed)) {
    Faults.insert(Faults.end(), Whole->begin(), Whole->end());
  } else {
    Result.Value = std::get<configuration>(std::move(Parsed));
  }
  Result.Remarks = config_check::toRemarks(Faults);
  const auto Replaced = config_check::checkRouteNames(Places);
  Result.Remarks.insert(Result.Remarks.end(), Replaced.begin(), Replaced.end());
  return Result;
}

std::vector<config_check::endpoint_offer> readOffers(const std::string &Body) {
  std::vector<config_check::endpoint_offer> Offers;
  const json Status = json::parse(Body, nullptr, false);
  if (!Status.is_object() || !Status.contains("companions")) {
    return Offers;
  }
  for (const json &Companion : Status["companions"]) {
    if (!Companion.is_object() || !Companion.contains("endpoint") ||
        !Companion["endpoint"].is_object()) {
      continue;
    }
    const std::string Endpoint = Companion["endpoint"].dump();
    config_check::endpoint_offer Offer{
        .MemoryBytes = wholeOf(Endpoint, "memory_bytes"),
        .Accelerators =
            static_cast<std::uint32_t>(wholeOf(Endpoint, "accelerators"))};
    const json Classes = Companion["endpoint"].value("classes", json::array());
    for (const json &Pool : Classes) {
      if (Pool.is_string()) {
        Offer.Pools.push_back(Pool.get<std::string>());
      }
    }
    Offers.push_back(std::move(Offer));
  }
  return Offers;
}

/// Adds what a running entry tells about \p Value.
std::optional<api_failure>
compareWithEntry(const configuration &Value, const operators_api &Api,
                 const peer_address &Entry,
                 std::optional<std::uint64_t> Revision,
                 config_check::remarks &Remarks) {
  auto Read = Api.readConfiguration();
  if (auto *Failure = std::get_if<api_failure>(&Read)) {
    return std::move(*Failure);
  }
  const configuration &InForce = std::get<configuration>(Read);
  if (Revision && *Revision != InForce.Revision) {
    return api_failure{.Code = exit_code::Unreachable,
                       .Message = "Revision " + std::to_string(*Revision) +
                                  " is not in force at " + toString(Entry) +
                                  ", but " + std::to_string(InForce.Revision) +
                                  "; others are not kept."};
  }
  auto Status =
      Api.readFromAll({{.Name = "entry", .Operators = Entry}}, "/v1/status");
  if (auto *Failure = std::get_if<api_failure>(&Status.front())) {
    return std::move(*Failure);
  }
  for (auto &Found :
       {config_check::checkOffers(
            Value, readOffers(std::get<std::string>(Status.front()))),
        config_check::compare(InForce, Value)}) {
    Remarks.insert(Remarks.end(), Found.begin(), Found.end());
  }
  return std::nullopt;
}

std::optional<std::uint64_t> parseRevision(const std::string &Text) {
  std::uint64_t Number = 0;
  const char *End = Text.data() + Text.size();
  const auto [Rest, Error] = std::from_chars(Text.data(), End, Number);
  if (Error != std::errc() || Rest != End) {
    return std::nullopt;
  }
  return Number;
}

exit_code codeOf(config_check::severity Worst) {
  switch (Worst) {
  case config_check::severity::Error:
    return exit_code::Usage;
  case config_check::severity::Warning:
    return exit_code::Failed;
  case config_check::severity::Note:
    return exit_code::Done;
  }
  return exit_code::Done;
}

exit_code report(config_check::remarks Remarks, const std::string &Text,
                 const std::string &File, bool AsJson, run_context &Context) {
  for (config_check::remark &Remark : Remarks) {
    Remark.What.Source = File;
  }
  config_check::setPlaces(Remarks, config_check::locate(Text));
  if (AsJson) {
    Context.Out << config_check::formatJson(Remarks) << "\n";
  } else if (Remarks.empty()) {
    Context.Out << File << " is valid.\n";
  } else {
    Context.Out << config_check::format(Remarks, Text);
  }
  return codeOf(config_check::findWorst(Remarks));
}

} // namespace

exit_code config_command::run(const std::vector<std::string> &Arguments,
                              run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const auto Words = Values.getTexts("words");
  if (Words.front() != "check") {
    return Options.reportUsage(Context,
                               "'" + Words.front() + "' is not an operation.");
  }
  const std::string Against = Values.getText("against");
  const auto Revision = parseRevision(Against);
  std::optional<peer_address> Entry = parsePeerAddress(Against);
  if (Revision) {
    Entry = Options.findOperators(Values, Context);
    if (!Entry) {
      return exit_code::Usage;
    }
  } else if (!Against.empty() && !Entry) {
    return Options.reportUsage(Context, "'" + Against +
                                            "' is no address and no revision.");
  }
  const std::string &File = Words.back();
  const auto Text = Context.Files.read(File);
  if (!Text) {
    Context.Err << "crocuswood: " << File << " can't be read.\n";
    return exit_code::Usage;
  }
  document Document = readDocument(*Text, File, config_check::locate(*Text));
  std::optional<api_failure> Failure;
  if (Document.Value) {
    const auto Found = config_check::check(*Document.Value);
    Document.Remarks.insert(Document.Remarks.end(), Found.begin(), Found.end());
    if (Entry) {
      Failure =
          compareWithEntry(*Document.Value, operators_api(Context.Http, *Entry),
                           *Entry, Revision, Document.Remarks);
    }
  }
  const exit_code Code = report(std::move(Document.Remarks), *Text, File,
                                Values.has("json"), Context);
  if (Failure) {
    Context.Err << "crocuswood: " << Failure->Message << "\n";
    return Code == exit_code::Usage ? Code : Failure->Code;
  }
  return Code;
}

} // namespace crocuswood::command_line
