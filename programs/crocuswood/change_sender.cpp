#include "change_sender.h"

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

constexpr duration RevisionPoll = std::chrono::milliseconds(50);
constexpr int MaxRevisionPolls = 100;

} // namespace

change_sender::change_sender(const operators_api &Api, std::string What,
                             bool AsJson, run_context &Context)
    : Api(Api), What(std::move(What)), AsJson(AsJson), Context(Context) {}

change_result change_sender::send(change_request Change,
                                  std::uint64_t BaseRevision) const {
  change_result First = Api.sendChange(Change);
  if (!std::holds_alternative<change_uncertain>(First)) {
    return First;
  }
  // The entry knows the id again if the change took effect as the last one.
  Change.ExpectedRevision = Change.ExpectedRevision.value_or(BaseRevision);
  change_result Second = Api.sendChange(Change);
  return std::holds_alternative<change_done>(Second) ? Second : First;
}

void change_sender::waitForRevision(std::uint64_t Revision) const {
  for (int Poll = 0; Poll < MaxRevisionPolls; ++Poll) {
    const auto Read = Api.readConfiguration();
    const auto *Current = std::get_if<configuration>(&Read);
    if (Current == nullptr || Current->Revision >= Revision) {
      return;
    }
    Context.Sleep(RevisionPoll);
  }
}

exit_code change_sender::report(const change_result &Result) const {
  if (const auto *Done = std::get_if<change_done>(&Result)) {
    return reportDone(*Done);
  }
  if (const auto *Conflict = std::get_if<change_in_conflict>(&Result)) {
    return reportConflict(*Conflict);
  }
  if (const auto *Uncertain = std::get_if<change_uncertain>(&Result)) {
    return reportUncertain(*Uncertain);
  }
  const api_failure &Failure = std::get<api_failure>(Result);
  Context.Err << "crocuswood: The " << What << " was not changed. "
              << Failure.Message << "\n";
  return Failure.Code;
}

exit_code change_sender::reportDone(const change_done &Done) const {
  if (AsJson) {
    Context.Out << "{\"revision\":" << Done.Revision << "}\n";
  } else {
    Context.Out << "The " << What << " was changed with revision "
                << Done.Revision << ".\n";
  }
  return exit_code::Done;
}

exit_code
change_sender::reportConflict(const change_in_conflict &Conflict) const {
  if (AsJson) {
    Context.Out << "{\"error\":\"conflict\",\"current_revision\":"
                << Conflict.CurrentRevision << "}\n";
  }
  Context.Err << "crocuswood: The " << What
              << " was not changed: another change came first, and revision "
              << Conflict.CurrentRevision << " is current.\n";
  return exit_code::Failed;
}

exit_code
change_sender::reportUncertain(const change_uncertain &Uncertain) const {
  if (AsJson) {
    Context.Out << "{\"error\":\"unavailable\",\"certain\":false}\n";
  }
  Context.Err << "crocuswood: The " << What
              << " may or may not have been changed: " << Uncertain.Reason
              << " Look at it before you change it again.\n";
  return exit_code::Unreachable;
}

} // namespace crocuswood::command_line
