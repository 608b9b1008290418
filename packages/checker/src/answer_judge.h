/// \file
/// Judges that every answer is the outcome of its own request.
#pragma once

#include "judge.h"

namespace crocuswood::checker {

/// Judges that every answer is the outcome of its own request.
class answer_judge : public rule_judge {
public:
  rule getRule() const override { return rule::AnswerToItsOwner; }
  void judge(const history &History, const limits &Limits,
             report &Report) const override;
};

} // namespace crocuswood::checker
