/// \file
/// The life of a job from its submission to its one answer.
#pragma once

#include "admission.h"
#include "claim_manager.h"
#include "entry_state.h"
#include "submission_check.h"

#include <string>

namespace crocuswood::entry {

/// Validates and accepts jobs, and works out what is certain about those that
/// fail.
class job_manager {
public:
  job_manager(entry_state &State, claim_manager &Claims, admission &Admission);

  void submit(job_submitted Event);
  void cancel(const job_cancelled &Event);
  void takeClaim(const claim_answered &Event);
  /// Handles jobs whose deadline or other time limit has passed.
  void expireTimers();
  /// Fails the waiting jobs of classes that no endpoint can run.
  void checkEndpoints();

  /// Fails \p Job for its first reason and withdraws what can be withdrawn.
  void fail(job &Job, job_failure Failure);
  /// Ends every job whose caller waits for its answer.
  void failAll(const job_failure &Failure);
  /// Answers \p Job if a change of its tasks makes that possible, and removes
  /// it after its last task. \p Job must not be used afterwards.
  void progress(job &Job);

private:
  void refuse(const job_id &Id, request_id Request, const job_request &Job,
              job_failure Failure, const std::string &Detail = {});
  /// Lets a job that arrives again take over the one that still runs.
  /// \returns whether the event needs nothing more.
  bool takeOver(const job_submitted &Event);
  job &accept(const job_id &Id, job_submitted Event, std::uint64_t Digest);
  void activate(job &Job);
  void takeHeldClaim(job &Job, const claim_answered &Event);
  void refuseClaim(job &Job, const std::string &Reason);
  void expire(job &Job);

  void dropWaiting(job &Job);
  void withdrawPlaced(job &Job);
  void finishWithResults(job &Job);
  void finishWithFailure(job &Job);
  void countAnswer(const job &Job, bool Completed);
  void sendAnswer(job &Job, job_outcome Outcome, std::uint64_t Digest);

  entry_state &State;
  claim_manager &Claims;
  admission &Admission;
  submission_check Check;
};

} // namespace crocuswood::entry
