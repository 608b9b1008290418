/// \file
/// Jobs by id, by request and by timer.
#pragma once

#include "job.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace crocuswood::entry {

/// Owns every job until its last task has ended.
class job_table {
public:
  explicit job_table(incarnation Self);

  /// \returns an id that no other job has.
  job_id nextId();
  /// \returns a new job.
  job &add(const job_id &Id, request_id Request);
  /// Frees \p Job.
  void remove(job &Job);

  /// \returns null if the id is of another incarnation or has been removed.
  job *find(const job_id &Id);
  /// \returns the job whose caller still waits for its answer, or null.
  job *findRequest(request_id Request);
  /// \returns the job with the caller's id \p CallerId, or null.
  job *findCaller(const std::string &CallerId);
  /// \returns the job that endpoints know as \p RunName, or null.
  job *findRunName(const std::string &RunName);
  /// Sets the caller's id of \p Job, by which it is found.
  void setCaller(job &Job, std::string CallerId);
  /// From now on \p Request waits for the answer of \p Job.
  void rebind(job &Job, request_id Request);
  /// Forgets the request of \p Job after its answer.
  void releaseRequest(const job &Job);

  /// Wakes \p Job at \p At; replaces its earlier timer.
  void setTimer(job &Job, instant At);
  void clearTimer(job &Job);
  std::optional<instant> getNextTimer() const;
  /// \returns a job whose timer is due, with the timer cleared, or null.
  job *takeExpired(instant Now);

  std::size_t getCount() const { return Jobs.size(); }
  /// \returns the requests whose callers wait for an answer.
  std::vector<request_id> listRequests() const;
  std::size_t countRequests() const { return Requests.size(); }

private:
  incarnation Self;
  std::uint64_t LastSequence = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<job>> Jobs;
  std::unordered_map<std::uint64_t, std::uint64_t> Requests;
  std::unordered_map<std::string, std::uint64_t> Callers;
  std::set<std::pair<instant, std::uint64_t>> Timers;
};

} // namespace crocuswood::entry
