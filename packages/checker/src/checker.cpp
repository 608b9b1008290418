#include "answer_judge.h"
#include "completeness_judge.h"
#include "end_judge.h"
#include "key_judge.h"
#include "leaving_judge.h"
#include "not_run_judge.h"
#include "revision_order_judge.h"
#include "revision_time_judge.h"
#include "starts_judge.h"
#include "stop_judge.h"

#include <crocuswood/checker.h>

#include <algorithm>
#include <array>

namespace crocuswood::checker {

namespace {

// In the order of rule.
constexpr std::array<std::string_view, 10> RuleNames = {
    "starts_at_most_once",       "complete_or_failed",
    "answer_to_its_owner",       "not_run_is_true",
    "key_runs_at_most_once",     "no_placement_on_leaving",
    "stop_cuts_off_nothing",     "revision_never_falls",
    "revision_in_force_in_time", "one_end",
};
static_assert(RuleNames.size() == static_cast<std::size_t>(rule::OneEnd) + 1);

} // namespace

std::string toString(rule Rule) {
  return std::string(RuleNames.at(static_cast<std::size_t>(Rule)));
}

judge_list makeJudges() {
  judge_list Judges;
  Judges.push_back(std::make_unique<starts_judge>());
  Judges.push_back(std::make_unique<completeness_judge>());
  Judges.push_back(std::make_unique<answer_judge>());
  Judges.push_back(std::make_unique<not_run_judge>());
  Judges.push_back(std::make_unique<key_judge>());
  Judges.push_back(std::make_unique<leaving_judge>());
  Judges.push_back(std::make_unique<stop_judge>());
  Judges.push_back(std::make_unique<revision_order_judge>());
  Judges.push_back(std::make_unique<revision_time_judge>());
  Judges.push_back(std::make_unique<end_judge>());
  return Judges;
}

verdict judge(const std::vector<timeline_event> &Events, const limits &Limits) {
  const history History(Events);
  verdict Verdict;
  Verdict.Events = Events.size();
  Verdict.Jobs = History.getJobs().size();
  Verdict.Starts = static_cast<std::uint64_t>(std::count_if(
      Events.begin(), Events.end(), [](const timeline_event &Event) {
        return Event.Kind == event_kind::TaskStarted;
      }));
  for (const auto &Judge : makeJudges()) {
    report Report(Judge->getRule(), Verdict.Violations);
    Judge->judge(History, Limits, Report);
  }
  return Verdict;
}

} // namespace crocuswood::checker
