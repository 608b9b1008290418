/// \file
/// Judges that a completed job has a result of every task.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that a completed job has a result of every task.
class completeness_judge : public rule_judge {
public:
  rule getRule() const override { return rule::CompleteOrFailed; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
