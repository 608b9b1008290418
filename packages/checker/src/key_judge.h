/// \file
/// Judges that an idempotency key runs in one job at most.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that an idempotency key runs in one job at most.
class key_judge : public rule_judge {
public:
  rule getRule() const override { return rule::KeyRunsAtMostOnce; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
