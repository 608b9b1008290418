/// \file
/// Interface of the judges, one for each rule.
#pragma once

#include "history.h"

#include <crocuswood/checker.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::checker {

/// Collects the violations of one rule.
class report {
public:
  report(rule Rule, std::vector<violation> &Violations)
      : Rule(Rule), Violations(Violations) {}
  void add(std::string Message) {
    Violations.push_back({.Rule = Rule, .Message = std::move(Message)});
  }

private:
  rule Rule;
  std::vector<violation> &Violations;
};

/// Judges one rule over a whole time line.
class rule_judge {
public:
  virtual ~rule_judge() = default;
  virtual rule getRule() const = 0;
  virtual void judge(const history &History, const limits &Limits,
                     report &Report) const = 0;
};

using judge_list = std::vector<std::unique_ptr<rule_judge>>;

/// \returns a judge for each rule, in the order of the rules.
judge_list makeJudges();

} // namespace crocuswood::checker
