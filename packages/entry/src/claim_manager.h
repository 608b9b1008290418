/// \file
/// Claims of jobs whose class is not idempotent.
#pragma once

#include "entry_state.h"

#include <cstdint>
#include <deque>
#include <unordered_map>

namespace crocuswood::entry {

/// Asks for claims and stores the outcomes of claimed jobs. Outcomes that the
/// table service did not take are offered again; their number is bounded.
class claim_manager {
public:
  explicit claim_manager(entry_state &State) : State(State) {}

  /// Asks for the claim of \p Job.
  void ask(job &Job);
  /// Stores the outcome of \p Job, which holds its claim.
  void settle(const job &Job, const job_outcome &Outcome);
  /// Takes note of whether an outcome was stored.
  void noteSettled(const claim_settled &Event);
  /// Offers outcomes again that were not stored.
  void retryUnsettled();
  /// \returns whether all outcomes have been stored or given up.
  bool isSettled() const { return Unsettled.empty(); }

private:
  struct unsettled {
    settle_claim Action;
    instant Since;
    bool Asked = true;
  };

  void dropOldest();

  entry_state &State;
  std::unordered_map<std::uint64_t, unsettled> Unsettled;
  std::deque<std::uint64_t> Order; ///< Sequences, oldest first.
};

} // namespace crocuswood::entry
