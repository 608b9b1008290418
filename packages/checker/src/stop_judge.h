/// \file
/// Judges that a planned stop cuts off no job.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that a planned stop cuts off no job.
class stop_judge : public rule_judge {
public:
  rule getRule() const override { return rule::StopCutsOffNothing; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
