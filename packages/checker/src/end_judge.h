/// \file
/// Judges that every accepted job has exactly one end.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that every accepted job has exactly one end.
class end_judge : public rule_judge {
public:
  rule getRule() const override { return rule::OneEnd; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
