/// \file
/// Stands in for the clients and for the balancer before the entries.
#pragma once

#include "entry_process.h"
#include "trace_content.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// What became of one arrival.
struct submission {
  const arrival *Arrival = nullptr;
  std::uint32_t Attempts = 0;
  bool Ended = false;
  bool Lost = false;      ///< The connection broke and nothing more was tried.
  bool Cancelled = false; ///< The client asked to cancel.
  bool Wrong = false;     ///< The outputs are not those of this request.
  std::optional<job_answer> Answer;
  instant EndedAt;
};

/// Submits arrivals, checks answers, and resubmits after lost connections.
class clients {
public:
  clients(world &World, const trace_header &Header,
          std::vector<entry_process *> Entries);

  void submit(const arrival &Arrival);
  void cancel(double Share);
  /// Breaks the clients' connections to \p Entry.
  void entryEnded(const entry_process &Entry);
  /// Looks which entries are ready, again and again.
  void checkHealth();
  /// \returns a ready entry, or null.
  entry_process *choose(const std::string &Name);

  const std::vector<submission> &getSubmissions() const { return Submissions; }
  std::size_t countWaiting() const { return Waiting; }

private:
  struct attempt {
    std::size_t Submission = 0;
    entry_process *Entry = nullptr;
  };

  void tryOnce(std::size_t Number);
  void take(request_id Request, const job_answer &Answer);
  void lose(request_id Request);
  void cancelOne(std::size_t Number);
  void end(submission &Submission);
  static job_request makeJob(const arrival &Arrival, std::size_t Number);

  world &World;
  const trace_header &Header;
  std::vector<entry_process *> Entries;
  std::vector<entry_process *> Healthy;
  std::vector<submission> Submissions;
  std::map<request_id, attempt> Open;
  std::size_t Waiting = 0;
  std::uint64_t NextRequest = 1;
};

} // namespace crocuswood::replay
