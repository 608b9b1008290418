/// \file
/// Sends jobs to entries and judges the answers.
#pragma once

#include "common/stand_in.h"
#include "load/job_mix.h"
#include "load/load_summary.h"

#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>

namespace crocuswood::stand_ins {

/// What the load is told on the command line.
struct load_options {
  std::vector<peer_address> Entries;
  std::vector<job_kind> Kinds;
  double Rate = 0;               ///< Jobs a second; 0 for a closed loop.
  std::uint32_t Connections = 8; ///< To each entry; in flight when closed.
  std::uint64_t Count = 0;       ///< Jobs to send; 0 for no bound.
  double Seconds = 0;            ///< Time to send for; 0 for no bound.
  std::uint32_t MaxResubmissions = 0;
  std::uint64_t Seed = 1;
  duration TimeLimit = std::chrono::seconds(60);
};

/// Runs the load and calls back when every job has ended.
class load_generator {
public:
  load_generator(boost::asio::io_context &Context, load_options Options,
                 std::function<void()> Finished);

  void start();
  /// Sends nothing more; what is under way ends.
  void stop();
  load_summary getSummary() const;

private:
  using clock = std::chrono::steady_clock;

  struct attempt {
    generated_job Job;
    clock::time_point Planned;
    std::uint32_t Resubmissions = 0;
    std::size_t Entry = 0;
  };
  using attempt_ptr = std::shared_ptr<attempt>;

  bool mayStart() const;
  void startJob(clock::time_point Planned);
  void scheduleNext();
  void sendDue();
  void send(const attempt_ptr &Attempt);
  void answered(const attempt_ptr &Attempt, const http::plain_reply &Reply);
  void judge(const attempt_ptr &Attempt, const http::plain_response &Response);
  void complete(const attempt_ptr &Attempt);
  /// \returns whether another attempt follows.
  bool resubmit(const attempt_ptr &Attempt, std::chrono::milliseconds Wait);
  void ended();
  void finishIfDone();

  boost::asio::io_context &Context;
  load_options Options;
  job_mix Mix;
  http::plain_client Client;
  boost::asio::steady_timer Timer;
  std::function<void()> Finished;
  load_summary Summary;
  clock::time_point Began;
  clock::time_point Next; ///< Planned sending of the next job.
  std::uint64_t Outstanding = 0;
  std::size_t LastEntry = 0;
  bool Stopped = false;
};

} // namespace crocuswood::stand_ins
