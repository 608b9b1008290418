#include "spec_command.h"

#include "change_sender.h"

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

// Other operators' changes to other things may come between a read and the
// write that builds on it.
constexpr int MaxSetAttempts = 5;

exit_code reportFailure(const api_failure &Failure, run_context &Context) {
  Context.Err << "crocuswood: " << Failure.Message << "\n";
  return Failure.Code;
}

std::optional<std::uint64_t> expectedRevision(const option_values &Values) {
  if (!Values.has("expected-revision")) {
    return std::nullopt;
  }
  return Values.get<std::uint64_t>("expected-revision");
}

std::string chooseChangeId(const option_values &Values, run_context &Context) {
  const std::string Given = Values.getText("change-id");
  return Given.empty() ? Context.MakeId() : Given;
}

exit_code finish(const change_sender &Sender, const change_result &Result) {
  if (const auto *Done = std::get_if<change_done>(&Result)) {
    Sender.waitForRevision(Done->Revision);
  }
  return Sender.report(Result);
}

} // namespace

exit_code spec_command::run(const std::vector<std::string> &Arguments,
                            run_context &Context) const {
  const command_options Options = describeOptions();
  auto Parsed = Options.parse(Arguments, Context);
  if (const auto *Code = std::get_if<exit_code>(&Parsed)) {
    return *Code;
  }
  const option_values &Values = std::get<option_values>(Parsed);
  const std::vector<std::string> Words = Values.getTexts("words");
  const std::string &Verb = Words.front();
  const bool IsList = Verb == "list";
  if (!IsList && Verb != "get" && Verb != "set" && Verb != "remove") {
    return Options.reportUsage(Context, "'" + Verb + "' is not an operation.");
  }
  if (Words.size() != (IsList ? 1 : 2)) {
    return Options.reportUsage(Context, IsList ? "list takes no name."
                                               : Verb + " takes one name.");
  }
  if (!IsList && !isName(Words.back())) {
    return Options.reportUsage(Context,
                               "'" + Words.back() + "' is not a name.");
  }
  const auto Entry = Options.findOperators(Values, Context);
  if (!Entry) {
    return exit_code::Usage;
  }
  const operators_api Api(Context.Http, *Entry);
  if (IsList) {
    return list(Api, Values, Context);
  }
  if (Verb == "get") {
    return get(Api, Words.back(), Context);
  }
  return Verb == "set" ? set(Api, Words.back(), Values, Context)
                       : remove(Api, Words.back(), Values, Context);
}

command_options spec_command::describeOptions() const {
  const std::string Noun = getName();
  command_options Options(
      Noun + " list|get|set|remove [NAME] [options]",
      "Lists the " + getCollection() +
          ", or shows, sets or removes one.\n"
          "set changes what its options name and keeps the rest. It exits with "
          "1 "
          "if another\noperator changed the same " +
          Noun +
          " meanwhile, or changed anything if\n--expected-revision is given.");
  Options.addOperators();
  addSetOptions(Options);
  Options.addText("file", "Set the document in this file; - is the standard "
                          "input.");
  Options.addWhole("expected-revision",
                   "Change nothing unless this revision is current.");
  Options.addText("change-id", "Unique id of the change; made up by default.");
  Options.addFlag("json", "Print JSON.");
  Options.setPositional("words", 1, 2);
  return Options;
}

exit_code spec_command::list(const operators_api &Api,
                             const option_values &Values,
                             run_context &Context) const {
  auto Result = Api.readConfiguration();
  if (const auto *Failure = std::get_if<api_failure>(&Result)) {
    return reportFailure(*Failure, Context);
  }
  const configuration &Current = std::get<configuration>(Result);
  if (!Values.has("json")) {
    printTable(Current, Context.Out);
    return exit_code::Done;
  }
  std::string Documents;
  for (const std::string &Document : listDocuments(Current)) {
    Documents += (Documents.empty() ? "" : ",") + Document;
  }
  Context.Out << "{\"revision\":" << Current.Revision << ",\""
              << getCollection() << "\":[" << Documents << "]}\n";
  return exit_code::Done;
}

exit_code spec_command::get(const operators_api &Api, const std::string &Name,
                            run_context &Context) const {
  auto Result = Api.readConfiguration();
  if (const auto *Failure = std::get_if<api_failure>(&Result)) {
    return reportFailure(*Failure, Context);
  }
  const auto Document = findDocument(std::get<configuration>(Result), Name);
  if (!Document) {
    Context.Err << "crocuswood: No " << getName() << " is named " << Name
                << ".\n";
    return exit_code::Failed;
  }
  Context.Out << *Document << "\n";
  return exit_code::Done;
}

exit_code spec_command::set(const operators_api &Api, const std::string &Name,
                            const option_values &Values,
                            run_context &Context) const {
  const change_sender Sender(Api, getName() + " " + Name, Values.has("json"),
                             Context);
  const std::string ChangeId = chooseChangeId(Values, Context);
  std::optional<std::optional<std::string>> FirstSeen;
  change_result Result = change_in_conflict{};
  for (int Attempt = 0; Attempt < MaxSetAttempts; ++Attempt) {
    auto Read = Api.readConfiguration();
    if (const auto *Failure = std::get_if<api_failure>(&Read)) {
      return reportFailure(*Failure, Context);
    }
    const configuration &Current = std::get<configuration>(Read);
    const auto Existing = findDocument(Current, Name);
    if (FirstSeen && *FirstSeen != Existing) {
      break; // Somebody else changed the same thing.
    }
    FirstSeen = Existing;
    auto Document = chooseDocument(Current, Name, Values, Context);
    if (const auto *Code = std::get_if<exit_code>(&Document)) {
      return *Code;
    }
    change_request Change{.Method = "PUT",
                          .Path = pathOf(Name),
                          .Body = std::get<std::string>(std::move(Document)),
                          .ChangeId = ChangeId,
                          .ExpectedRevision = expectedRevision(Values)};
    const bool BuildsOnRead = !Values.has("file");
    if (BuildsOnRead && !Change.ExpectedRevision) {
      Change.ExpectedRevision = Current.Revision;
    }
    Result = Sender.send(std::move(Change), Current.Revision);
    const auto *Conflict = std::get_if<change_in_conflict>(&Result);
    if (Conflict == nullptr || expectedRevision(Values)) {
      break;
    }
    Sender.waitForRevision(Conflict->CurrentRevision);
  }
  return finish(Sender, Result);
}

exit_code spec_command::remove(const operators_api &Api,
                               const std::string &Name,
                               const option_values &Values,
                               run_context &Context) const {
  auto Read = Api.readConfiguration();
  if (const auto *Failure = std::get_if<api_failure>(&Read)) {
    return reportFailure(*Failure, Context);
  }
  const change_sender Sender(Api, getName() + " " + Name, Values.has("json"),
                             Context);
  const change_result Result =
      Sender.send({.Method = "DELETE",
                   .Path = pathOf(Name),
                   .ChangeId = chooseChangeId(Values, Context),
                   .ExpectedRevision = expectedRevision(Values)},
                  std::get<configuration>(Read).Revision);
  return finish(Sender, Result);
}

std::variant<std::string, exit_code> spec_command::chooseDocument(
    const configuration &Current, const std::string &Name,
    const option_values &Values, run_context &Context) const {
  if (!Values.has("file")) {
    auto Made = makeDocument(Current, Name, Values);
    if (const auto *Faults = std::get_if<findings>(&Made)) {
      Context.Err << toString(*Faults);
      return exit_code::Usage;
    }
    return std::get<std::string>(std::move(Made));
  }
  const std::string File = Values.getText("file");
  if (hasSetOptions(Values)) {
    Context.Err << "crocuswood: --file stands for the whole document; leave "
                   "the other options out.\n";
    return exit_code::Usage;
  }
  const auto Text = Context.Files.read(File);
  if (!Text) {
    Context.Err << "crocuswood: " << File << " can't be read.\n";
    return exit_code::Usage;
  }
  auto Parsed = parseDocument(*Text, File);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    Context.Err << toString(*Faults);
    return exit_code::Usage;
  }
  auto &[Found, Document] =
      std::get<std::pair<std::string, std::string>>(Parsed);
  if (Found != Name) {
    Context.Err << "crocuswood: " << File << " is about " << Found << ", not "
                << Name << ".\n";
    return exit_code::Usage;
  }
  return std::move(Document);
}

std::string spec_command::pathOf(const std::string &Name) const {
  return "/v1/" + getCollection() + "/" + Name;
}

} // namespace crocuswood::command_line
