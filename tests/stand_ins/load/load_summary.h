/// \file
/// Counts and latencies of a load run.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace crocuswood::stand_ins {

/// Counts of jobs by their end, and latencies of the completed ones.
struct load_summary {
  std::uint64_t Sent = 0;        ///< Jobs, not counting resubmissions.
  std::uint64_t Completed = 0;   ///< With a whole answer to their own request.
  std::uint64_t Refused = 0;     ///< Ended as `not_run`.
  std::uint64_t Failed = 0;      ///< Ended as `may_have_run`.
  std::uint64_t Unanswered = 0;  ///< The connection was lost after writing.
  std::uint64_t Unreached = 0;   ///< Nothing was written to any entry.
  std::uint64_t Mismatched = 0;  ///< The answer was not that of the request.
  std::uint64_t Resubmitted = 0; ///< Attempts after the first.
  std::uint64_t TasksCompleted = 0;
  double ElapsedSeconds = 0;
  std::map<std::string, std::uint64_t> Errors; ///< By code.
  std::vector<double> Latencies; ///< Milliseconds from the planned sending.
  std::vector<double> Added;     ///< Milliseconds beyond the run time.

  /// \returns one JSON object without line breaks.
  std::string write() const;
};

} // namespace crocuswood::stand_ins
