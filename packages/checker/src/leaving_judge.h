/// \file
/// Judges that a leaving endpoint receives no new work.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that a leaving endpoint receives no new work.
class leaving_judge : public rule_judge {
public:
  rule getRule() const override { return rule::NoPlacementOnLeaving; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
