/// \file
/// Judges that no process goes back to an older configuration.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that no process goes back to an older configuration.
class revision_order_judge : public rule_judge {
public:
  rule getRule() const override { return rule::RevisionNeverFalls; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
