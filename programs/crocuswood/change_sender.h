/// \file
/// Sends one change and settles lost answers.
#pragma once

#include "operators_api.h"
#include "run_context.h"

#include <cstdint>
#include <string>

namespace crocuswood::command_line {

/// Sends changes and reports how they ended.
class change_sender {
public:
  /// \p What names the thing that changes, such as `class pivot-check`.
  change_sender(const operators_api &Api, std::string What, bool AsJson,
                run_context &Context);

  /// Sends \p Change. If the answer is lost, sends it again under the same id
  /// for \p BaseRevision only, so that it can't take effect after somebody
  /// else's change.
  change_result send(change_request Change, std::uint64_t BaseRevision) const;

  /// Waits until the entry shows \p Revision or a greater one, so that whoever
  /// asks it next sees the change. Gives up after some seconds.
  void waitForRevision(std::uint64_t Revision) const;

  /// Prints \p Result. \returns the code for it.
  exit_code report(const change_result &Result) const;

private:
  exit_code reportDone(const change_done &Done) const;
  exit_code reportConflict(const change_in_conflict &Conflict) const;
  exit_code reportUncertain(const change_uncertain &Uncertain) const;

  const operators_api &Api;
  std::string What;
  bool AsJson;
  run_context &Context;
};

} // namespace crocuswood::command_line
