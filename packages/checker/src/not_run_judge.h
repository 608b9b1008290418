/// \file
/// Judges that nothing of a job that counts as not run has started.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that nothing of a job that counts as not run has started.
class not_run_judge : public rule_judge {
public:
  rule getRule() const override { return rule::NotRunIsTrue; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
