#include "event_gatherer.h"

#include <crocuswood/timeline.h>

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

api_result<gathered_events> gatherEvents(const operators_api &Api,
                                         std::optional<job_id> Job,
                                         run_context &Context) {
  auto Listed = Api.listProcesses();
  if (auto *Failure = std::get_if<api_failure>(&Listed)) {
    return std::move(*Failure);
  }
  const auto &Processes = std::get<std::vector<process_entry>>(Listed);
  std::map<std::string, std::string> Query;
  if (Job) {
    Query["job"] = toString(*Job);
  }
  const auto Bodies = Api.readFromAll(Processes, "/v1/timeline", Query);
  gathered_events Gathered;
  std::vector<std::vector<timeline_event>> Parts;
  for (std::size_t Index = 0; Index < Bodies.size(); ++Index) {
    const std::string &Name = Processes[Index].Name;
    if (const auto *Failure = std::get_if<api_failure>(&Bodies[Index])) {
      Context.Err << "crocuswood: Without the events of " << Name << ": "
                  << Failure->Message << "\n";
      Gathered.Complete = false;
      continue;
    }
    auto Parsed =
        timeline::parseJsonLines(std::get<std::string>(Bodies[Index]), Name);
    if (const auto *Faults = std::get_if<findings>(&Parsed)) {
      Context.Err << "crocuswood: Without the events of " << Name << ":\n"
                  << toString(*Faults);
      Gathered.Complete = false;
      continue;
    }
    Parts.push_back(std::get<std::vector<timeline_event>>(std::move(Parsed)));
  }
  Gathered.Events = timeline::merge(std::move(Parts));
  return Gathered;
}

} // namespace crocuswood::command_line
