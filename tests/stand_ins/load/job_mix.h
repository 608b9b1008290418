/// \file
/// The kinds of jobs that the load is made of.
#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace crocuswood::stand_ins {

/// One kind of job.
struct job_kind {
  std::string Class;
  std::string Team;
  double Weight = 1;
  std::uint32_t Tasks = 1;
  double RunMilliseconds = 0;
  bool Keys = false;    ///< Each job gets an idempotency key.
  bool Declare = false; ///< Tasks declare their run time.
  std::string Deadline; ///< Empty for none.
  double FailShare = 0; ///< Share of jobs with a task that fails.
  std::uint32_t OutputBytes = 0;
};

/// Parses `CLASS,team=T,weight=W,tasks=N,run_ms=M,deadline=D,fail=SHARE,
/// output_bytes=N,keys,declare`; exits with status 2 on a fault.
job_kind jobKindOrExit(const std::string &Text);

/// A job as it is sent, and what its answer must be.
struct generated_job {
  std::string Body;
  std::vector<std::string> Digests; ///< Of each task's input, in order.
  double RunMilliseconds = 0;
  bool MayFail = false;
};

/// Draws jobs from a mix of kinds; the same jobs for the same seed.
class job_mix {
public:
  job_mix(std::vector<job_kind> Kinds, std::uint64_t Seed);
  generated_job next();
  /// \returns a span between two arrivals of a Poisson process.
  double nextGapSeconds(double Rate);

private:
  std::vector<job_kind> Kinds;
  std::uint64_t Seed;
  std::uint64_t Count = 0;
  std::mt19937_64 Random;
  std::discrete_distribution<std::size_t> Choice;
};

} // namespace crocuswood::stand_ins
