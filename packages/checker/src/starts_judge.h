/// \file
/// Judges that every task starts at most once.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that every task starts at most once.
class starts_judge : public rule_judge {
public:
  rule getRule() const override { return rule::StartsAtMostOnce; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
