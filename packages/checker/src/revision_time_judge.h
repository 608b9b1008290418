/// \file
/// Judges that every live process takes up an accepted configuration in time.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that every live process takes up an accepted configuration in time.
class revision_time_judge : public rule_judge {
public:
  rule getRule() const override { return rule::RevisionInForceInTime; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
