/// \file
/// Public header of the package entry: the decision core of an entry.
///
/// The core is a state machine. It has no sockets, clocks, threads, random
/// source or logging; its caller feeds it events with the current time and
/// carries out the actions it returns.
#pragma once

#include <crocuswood/evacuation.h>
#include <crocuswood/interference.h>
#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::entry {

/// Names of the placement policies that options::Policy accepts.
enum class policy_kind : std::uint8_t {
  Crocuswood, ///< The product's policy.
  Random,     ///< Baselines for comparison.
  RoundRobin,
  LeastOutstanding,
  TwoChoices,
};

/// Settings of the core. Spans of time are named for what they bound.
struct options {
  process_id Self;
  std::string Zone;
  peer_address Operators; ///< Told to companions.
  std::uint64_t Seed = 0; ///< Of the core's own generator.
  policy_kind Policy = policy_kind::Crocuswood;
  /// Whether placement follows the speed of endpoints. Takes effect with the
  /// product's own policy only.
  bool FollowsSpeed = false;
  /// Whether admission judges strictly from the start of an overload on, and
  /// not only once it has lasted.
  bool JudgesPromptly = false;
  /// Whether in an overload organisations that ask for more than an equal part
  /// give way first.
  bool SharesFairly = false;
  /// Whether refused callers are told to return one after the other, and go
  /// before others when they do.
  bool SpreadsReturns = false;
  /// Whether placement keeps classes apart that slow each other down. Takes
  /// effect with the product's own policy only.
  bool AvoidsInterference = false;
  /// Whether endpoints that are slow after their start are offered a share of
  /// their capacity that grows meanwhile.
  bool SlowStart = false;
  duration HeartbeatInterval = std::chrono::milliseconds(500);
  duration IdleHeartbeatInterval{}; ///< Of links without work; 0 for the same.
  duration SilenceLimit =
      std::chrono::seconds(2); ///< A link silent for longer is closed.
  duration LossLimit =
      std::chrono::seconds(10); ///< A companion without a link for longer is
                                ///< lost; its tasks may have run.
  /// Companions run this entry's tasks only for a bounded time after its latest
  /// grant. After a LossLimit without a grant they have certainly ended, so
  /// repeatable tasks may run elsewhere.
  bool GrantsLeases = false;
  /// A planned stop takes new jobs for this long, until the balancer has
  /// noticed that the entry is not ready.
  duration StopDelay{};
  /// A planned stop fails the jobs that are left after this, so that their
  /// callers are answered before the process is killed; 0 waits for all jobs.
  duration StopLimit{};
  std::uint32_t MaxOutstandingTasks = 200'000; ///< Admission stops there.
  duration ClaimLimit =
      std::chrono::seconds(5); ///< A claim unconfirmed for longer is refused.
};

// Events.

/// A caller has submitted a job.
struct job_submitted {
  request_id Request{};
  job_request Job;
};
/// The caller has cancelled, or its connection is gone.
struct job_cancelled {
  request_id Request{};
  bool CallerGone = false; ///< Nobody waits for the answer.
};
/// A companion has connected. Its hello is the first envelope.
struct link_opened {
  link_id Link{};
};
struct envelope_received {
  link_id Link{};
  std::vector<peer_message> Messages;
};
struct link_closed {
  link_id Link{};
  std::string Reason;
};
/// The platform duty has read a configuration, or an operator's change was
/// accepted.
struct configuration_read {
  configuration Configuration;
};
/// The platform duty has read the list of entries.
struct entries_read {
  std::vector<peer_address> Entries;
};
/// The platform duty has read which zones are evacuated.
struct evacuation_read {
  evacuation::state State;
};
/// How the insertion of a claim row ended.
enum class claim_status : std::uint8_t {
  Confirmed, ///< This attempt holds the claim.
  Held,      ///< Another attempt holds it, or held it.
  Refused,   ///< The service is down or refused; the row was certainly not
             ///< inserted.
  Unknown,   ///< Not settled within the time limit; the row may have been
             ///< inserted.
};
struct claim_answered {
  job_id Job;
  claim_status Status = claim_status::Unknown;
  std::uint64_t HolderDigest =
      0; ///< When Held: digest of the holder's request.
  std::optional<job_outcome> HolderOutcome; ///< When Held and stored.
};
/// The outcome of a claimed job has been stored, or could not be.
struct claim_settled {
  job_id Job;
  bool Stored = false;
};
/// A wake-up asked for by wake_at, or any later time.
struct timer_expired {};
/// How late the process got to work that was due. Fed many times a second.
struct lag_measured {
  duration Lag{};
};
/// The process did nothing for a while. Callers may have left meanwhile and
/// have handed their jobs in elsewhere, so the core asks by check_callers and
/// places nothing before the answer.
struct pause_noticed {};
/// Every caller that had left before the check has been reported.
struct callers_checked {};
/// Planned stop: finish what was accepted and take nothing new.
struct stop_requested {};

using event =
    std::variant<job_submitted, job_cancelled, link_opened, envelope_received,
                 link_closed, configuration_read, entries_read, claim_answered,
                 claim_settled, timer_expired, lag_measured, pause_noticed,
                 callers_checked, stop_requested, evacuation_read>;

// Actions.

/// Sends the one answer of a request.
struct answer_caller {
  request_id Request{};
  job_answer Answer;
};
/// Sends messages together as one envelope.
struct send_messages {
  link_id Link{};
  std::vector<peer_message> Messages;
};
struct close_link {
  link_id Link{};
  std::string Reason;
};
/// Inserts the claim row of a job whose class is not idempotent. Answered by
/// claim_answered.
struct ask_claim {
  job_id Job; ///< Also the token of this attempt.
  std::string Team;
  std::string Key;
  std::uint64_t RequestDigest = 0;
};
/// Stores the outcome of a claimed job. Answered by claim_settled. The caller
/// is answered without waiting for it.
struct settle_claim {
  job_id Job;
  std::string Team;
  std::string Key;
  std::uint64_t RequestDigest = 0;
  job_outcome Outcome;
};
/// Asks for timer_expired at \p At. Replaces an earlier wake_at.
struct wake_at {
  instant At;
};
/// A configuration with a greater revision is in force; others may be told.
struct configuration_adopted {
  configuration Configuration;
};
struct record_event {
  timeline_event Event;
};
/// Whether answers close their connections, so that callers go where the
/// balancer sends them.
struct steer_callers {
  bool Away = false;
};
/// The entry refuses new jobs from now on.
struct intake_closed {};
/// Asks for job_cancelled of every caller that has left, and callers_checked
/// after it.
struct check_callers {};
/// Everything accepted has ended and a stop was requested; the process may
/// exit.
struct stop_finished {};

using action =
    std::variant<answer_caller, send_messages, close_link, ask_claim,
                 settle_claim, wake_at, configuration_adopted, record_event,
                 steer_callers, intake_closed, check_callers, stop_finished>;

// Status.

/// A companion as an entry sees it.
struct companion_status {
  std::string Name;
  std::string Zone;
  peer_address Operators;
  bool Linked = false;
  bool SetAside = false;
  endpoint_report Endpoint;
  companion_load Load;
  std::uint32_t Outstanding = 0; ///< Tasks of this entry on it.
  bool Cold = false;             ///< Serves and gets a part of its capacity.
};

/// Counters of a class since the start of the process.
struct class_status {
  std::uint64_t Accepted = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Completed = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Missed = 0; ///< Answered later than the target.
  std::uint32_t WaitingTasks = 0;
  std::uint32_t PlacedTasks = 0;
};

/// What an entry has learned of two classes on one endpoint: how much slower
/// tasks of one run beside those of the other at a share of 1.
struct interference_status {
  std::string Class;
  std::string Neighbour;
  double Slowdown = 1;
  double Lower = 1; ///< Confidence bounds.
  double Upper = 1;
  double Runs = 0; ///< Runs that still count.
  bool Believed = false;
};

/// What an entry with `placement.interference` has counted.
struct interference_figures {
  /// Tasks that have ended, by the slowdown that believed pairs explain.
  interference::slowdown_histogram Slowdowns;
  std::uint64_t Found = 0; ///< Beliefs that have begun.
  std::uint64_t Gone = 0;  ///< Beliefs that have ended.
};

struct status {
  bool Ready = false; ///< Has a configuration and a serving endpoint, is not
                      ///< stopping and keeps up with its work.
  bool Stopping = false;
  std::uint64_t ConfigurationRevision = 0;
  std::uint64_t WastedMessages =
      0; ///< Carried neither a start nor a result that was used.
  std::uint64_t SentMessages = 0;
  std::uint64_t ReceivedMessages = 0;
  std::uint64_t Heartbeats =
      0; ///< Sent and received; not among the messages above.
  /// Classes that timed checks and placements went through since the start: the
  /// part of the work that grows with the classes in use.
  std::uint64_t ClassVisits = 0;
  evacuation::state Evacuation;
  std::map<std::string, class_status> Classes;
  std::vector<companion_status> Companions; ///< Ordered by name.
  std::vector<interference_status> Interference;
  /// Nothing unless the entry avoids interference.
  std::optional<interference_figures> InterferenceFigures;
};

/// The decision core: admission, ordering, placement, withdrawal, health,
/// quotas, claims and job assembly.
class core {
public:
  explicit core(options Options);
  ~core();
  core(core &&) noexcept;
  core &operator=(core &&) noexcept;

  /// Takes one event and appends the actions that follow from it to \p Actions.
  /// Several events may be handled before flush().
  void handle(instant Now, event Event, std::vector<action> &Actions);

  /// Appends the messages gathered since the last flush, one send_messages for
  /// each link.
  void flush(instant Now, std::vector<action> &Actions);

  status getStatus() const;
  const configuration &getConfiguration() const;
  std::vector<peer_address> getEntries() const;

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::entry
