#include "verdict_report.h"

#include <nlohmann/json.hpp>

#include <ostream>
#include <set>

namespace crocuswood::command_line {

namespace {

using json = nlohmann::json;

constexpr std::size_t Rules =
    static_cast<std::size_t>(checker::rule::OneEnd) + 1;

void printJson(const checker::verdict &Verdict, std::size_t Failed,
               std::ostream &Out) {
  json Violations = json::array();
  for (const checker::violation &Violation : Verdict.Violations) {
    Violations.push_back(
        {{"rule", toString(Violation.Rule)}, {"message", Violation.Message}});
  }
  const json Document = {
      {"events", Verdict.Events}, {"jobs", Verdict.Jobs},
      {"starts", Verdict.Starts}, {"violations", std::move(Violations)},
      {"passed", Rules - Failed}, {"failed", Failed}};
  Out << Document.dump(-1, ' ', false, json::error_handler_t::replace) << "\n";
}

} // namespace

exit_code reportVerdict(const checker::verdict &Verdict, bool AsJson,
                        std::ostream &Out) {
  std::set<checker::rule> Broken;
  for (const checker::violation &Violation : Verdict.Violations) {
    Broken.insert(Violation.Rule);
  }
  if (AsJson) {
    printJson(Verdict, Broken.size(), Out);
  } else {
    for (const checker::violation &Violation : Verdict.Violations) {
      Out << toString(Violation.Rule) << ": " << Violation.Message << "\n";
    }
    Out << Verdict.Events << " events, " << Verdict.Jobs << " jobs, "
        << Verdict.Starts << " starts\n"
        << Rules - Broken.size() << " passed, " << Broken.size() << " failed\n";
  }
  return Broken.empty() ? exit_code::Done : exit_code::Failed;
}

} // namespace crocuswood::command_line
