/// \file
/// Public header of the package companion: the decision core beside an
/// endpoint.
///
/// The core is a state machine. It has no sockets, clocks, threads, random
/// source or logging; its caller feeds it events with the current time and
/// carries out the actions it returns.
#pragma once

#include <crocuswood/evacuation.h>
#include <crocuswood/model.h>

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::companion {

/// Settings of the core.
struct options {
  process_id Self;
  std::string Zone;
  peer_address Operators; ///< Told to entries.
  std::uint64_t Seed =
      0; ///< Of the core's own generator, for the spread of dials.
  std::vector<peer_address>
      Bootstrap; ///< Dialled while no entry is known: the balancer.
  duration HeartbeatInterval = std::chrono::milliseconds(500);
  duration IdleHeartbeatInterval{}; ///< Of links without work; 0 for the same.
  duration SilenceLimit =
      std::chrono::seconds(2); ///< A link silent for longer is dialled anew.
  duration EntryLossLimit =
      std::chrono::seconds(10); ///< An entry without a link for longer is
                                ///< gone; its queued tasks are dropped.
  duration RedialInterval = std::chrono::milliseconds(500);
  duration AnnouncementLimit =
      std::chrono::seconds(3); ///< An endpoint silent for longer is
                               ///< absent.
  /// How long tasks of an entry may run and start after it last vouched for
  /// them; 0 means that they need no such lease.
  duration EntryLease{};
  /// Whether the companion dials entries only after endpoint_settled, so that
  /// its first hello proves that no run of an earlier life goes on.
  bool AwaitEndpoint = false;
  std::uint32_t MaxQueuedTasks = 1'024;
  std::uint64_t MaxRetainedBytes =
      32ULL * 1024 * 1024; ///< Ends kept until acknowledged. Beyond
                           ///< it, new tasks are given back.
  /// Whether loads have the used room by class.
  bool ReportsClassRooms = false;
};

/// What an endpoint says of itself, again and again.
struct endpoint_announcement {
  std::string Name;
  std::string Life; ///< Differs between the starts of the endpoint, if known.
  peer_address Address;
  endpoint_report Offer; ///< State Serving or Leaving.
  /// Grows with every announcement of one life, if it is known; tells a delayed
  /// one.
  std::uint64_t Sequence = 0;

  friend bool operator==(const endpoint_announcement &,
                         const endpoint_announcement &) = default;
};

// Events.

/// A dial has succeeded.
struct link_opened {
  link_id Link{};
};
struct envelope_received {
  link_id Link{};
  std::vector<peer_message> Messages;
};
/// A link is gone, or a dial has failed.
struct link_closed {
  link_id Link{};
  std::string Reason;
};
/// The platform duty has read the rows of the entries.
struct entries_read {
  std::vector<peer_address> Entries;
};
/// The settings name these entries besides those that they named before.
struct bootstrap_changed {
  std::vector<peer_address> Entries;
};
/// The platform duty has read a configuration.
struct configuration_read {
  configuration Configuration;
};
struct endpoint_announced {
  endpoint_announcement Announcement;
};
/// How a start_task ended.
struct run_completed {
  task_id Task;
  payload Output;
};
struct run_failed {
  task_id Task;
  std::string Reason;
};
/// Nothing was written to the endpoint.
struct run_not_reached {
  task_id Task;
  std::string Reason;
};
/// The connection was lost after the call had been written.
struct run_lost {
  task_id Task;
  std::string Reason;
};
/// The run ended before its time, by a stop or with its endpoint or lease.
struct run_stopped {
  task_id Task;
  std::string Reason;
};
/// The endpoint refused the start, and the run will certainly not begin.
struct run_refused {
  task_id Task;
  std::string Reason;
};
/// Nothing that an earlier life of this companion started runs any more.
struct endpoint_settled {};
/// The endpoint has crashed. Precedes the ends of the runs that it took along.
struct endpoint_crashed {
  /// What ran on it, with the crashes that were known before.
  std::vector<crashed_task> Tasks;
  /// Other tasks had been ordered there, and may have run.
  bool MayHaveOthers = false;
};
/// The endpoint has begun another life.
struct endpoint_restarted {
  std::string From; ///< Empty if it is the first life that was seen.
  std::string To;
  std::uint32_t EndedRuns = 0;
};
/// An announcement does not count for the endpoint beside this process.
struct announcement_ignored {
  std::string Name; ///< Who announced itself.
  std::string Reason;
};
/// The lease of the endpoint's runs is not renewed from now on.
struct lease_withheld {
  std::uint32_t Runs = 0;
  std::string Reason;
};
/// The endpoint lists runs that nothing in this life has ordered. They are
/// stopped.
struct unknown_runs {
  std::uint32_t Count = 0;
  std::string First; ///< One of them, by its job, task and attempt.
};
/// The endpoint no longer answers, whatever it last announced.
struct endpoint_silent {
  std::string Reason;
};
struct timer_expired {};
/// Planned stop: give back queued tasks, let running ones end and their results
/// be fetched.
struct stop_requested {};

using event =
    std::variant<link_opened, envelope_received, link_closed, entries_read,
                 configuration_read, endpoint_announced, run_completed,
                 run_failed, run_not_reached, run_lost, run_stopped,
                 run_refused, endpoint_settled, endpoint_silent,
                 endpoint_crashed, endpoint_restarted, announcement_ignored,
                 lease_withheld, unknown_runs, bootstrap_changed, timer_expired,
                 stop_requested>;

// Actions.

/// Opens a link under an id chosen by the core.
struct dial_entry {
  link_id Link{};
  peer_address Address;
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
/// Starts a task on the endpoint. From here on the task counts as started.
struct start_task {
  task_id Task;
  std::string Class;
  payload Input;
  peer_address Endpoint;
  std::string RunName; ///< Name of the job towards the endpoint.
  std::uint32_t Attempt = 1;
  /// Endpoints that crashed under earlier starts, as far as is known.
  std::uint32_t Crashes = 0;
  /// Of the endpoint whose room was counted on; empty for any.
  std::string Life;
};
/// Asks the endpoint to stop a running task.
struct stop_task {
  task_id Task;
  peer_address Endpoint;
};
/// The classes in force run on endpoints of these pools.
struct pools_configured {
  std::set<std::string> Pools;
};
/// Asks for timer_expired at \p At. Replaces an earlier wake_at.
struct wake_at {
  instant At;
};
struct record_event {
  timeline_event Event;
};
/// Everything has ended and a stop was requested; the process may exit.
struct stop_finished {};

using action =
    std::variant<dial_entry, send_messages, close_link, start_task, stop_task,
                 pools_configured, wake_at, record_event, stop_finished>;

// Status.

struct entry_status {
  std::string Name; ///< Empty before its hello.
  peer_address Address;
  bool Linked = false;
  std::uint32_t Queued = 0;
  std::uint32_t Running = 0;
};

struct status {
  bool Stopping = false;
  std::uint64_t ConfigurationRevision = 0;
  std::string EndpointName;
  endpoint_report Endpoint;
  companion_load Load;
  std::uint64_t Started = 0;
  std::uint64_t Retained = 0; ///< Ends not acknowledged yet.
  std::uint64_t RetainedBytes = 0;
  std::vector<entry_status> Entries;
  evacuation::state Evacuation;
};

/// The decision core: queue, slots, start fence, duplicate detection, drain,
/// retained ends.
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

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::companion
