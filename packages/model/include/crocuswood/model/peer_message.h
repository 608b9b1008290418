/// \file
/// Messages between entries and companions. A span in a message counts from its
/// sending.
#pragma once

#include <crocuswood/model/configuration.h>
#include <crocuswood/model/ids.h>
#include <crocuswood/model/job.h>
#include <crocuswood/model/payload.h>
#include <crocuswood/model/time.h>

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

namespace crocuswood {

/// Version of the messages below. Peers with different versions refuse the
/// link.
constexpr std::uint32_t PeerProtocolVersion = 6;

/// How a peer process is reached.
struct peer_address {
  std::string Host; ///< An IP number.
  std::uint16_t Port = 0;

  friend bool operator==(const peer_address &, const peer_address &) = default;
  friend std::strong_ordering operator<=>(const peer_address &Left,
                                          const peer_address &Right) {
    return std::tie(Left.Host, Left.Port) <=> std::tie(Right.Host, Right.Port);
  }
};

/// \returns `IP:PORT`, with an IPv6 number in brackets.
std::string toString(const peer_address &Address);
/// Parses what toString() writes. Names of hosts are refused.
std::optional<peer_address> parsePeerAddress(std::string_view Text);

/// Whether the endpoint beside a companion takes work.
enum class endpoint_state : std::uint8_t {
  Absent,  ///< No endpoint has announced itself, or it fell silent.
  Serving, ///< Takes work.
  Leaving, ///< Finishes what has started and takes nothing new.
};

/// What an endpoint offers. A companion sends it whenever it changes.
struct endpoint_report {
  endpoint_state State = endpoint_state::Absent;
  std::vector<std::string> Classes; ///< Classes that it runs.
  std::uint32_t Slots = 0;          ///< Tasks that it runs at the same time.
  std::uint64_t MemoryBytes = 0;    ///< Memory for all slots together.
  std::uint32_t Accelerators = 0;   ///< Accelerators for all slots together.
  /// Processor in thousandths of a core; 0 means that only slots count.
  std::uint32_t MilliCores = 0;
  /// How much longer it is slow after its start, in coarse steps.
  duration ColdLeft{};

  friend auto operator<=>(const endpoint_report &,
                          const endpoint_report &) = default;
};

/// Room of one slot where an endpoint counts slots. Where it counts processor,
/// room is in thousandths of a core.
constexpr std::uint32_t SlotRoom = 1'000;

/// \returns the room of an endpoint for all its tasks together.
std::uint32_t capacityOf(const endpoint_report &Endpoint);
/// \returns the room that a task takes on \p Endpoint.
std::uint32_t roomFor(const endpoint_report &Endpoint, const task_needs &Needs);

/// Queued tasks of one priority on a companion.
struct queued_work {
  std::uint32_t Priority = 0;
  duration RunTime{}; ///< Expected, of the tasks together, each by the slots or
                      ///< cores that it takes.
  std::uint32_t Room = 0; ///< That they will take.

  friend bool operator==(const queued_work &, const queued_work &) = default;
};

/// Slowness of an endpoint whose runs take as long as expected.
constexpr std::uint32_t UsualSlowness = 1'000;

/// Room that the running tasks of one class take.
struct class_room {
  std::string Class;
  std::uint32_t Room = 0;

  friend bool operator==(const class_room &, const class_room &) = default;
};

/// Most classes in a load.
constexpr std::size_t MaxClassRooms = 8;

/// Load of a companion over all entries.
struct companion_load {
  std::uint64_t Sequence =
      0; ///< Grows with every change; a smaller one is outdated.
  std::uint32_t Running = 0; ///< Slots in use, orphaned tasks included.
  std::uint32_t Queued = 0;  ///< Tasks waiting for a slot.
  std::vector<queued_work> QueuedWork; ///< By priority, the smallest first.
  std::uint32_t UsedRoom = 0;          ///< Room that running tasks take.
  std::uint32_t QueuedRoom = 0;        ///< Room that queued tasks will take.
  /// Run times on the endpoint against those that entries expect, in
  /// thousandths.
  std::uint32_t Slowness = UsualSlowness;
  /// UsedRoom by class: the classes that use most, the greatest first, at most
  /// MaxClassRooms. Empty unless the companion's settings ask for it.
  std::vector<class_room> ClassRooms;

  friend bool operator==(const companion_load &,
                         const companion_load &) = default;
};

/// First message of a companion on a link.
struct companion_hello {
  std::uint32_t Version = PeerProtocolVersion;
  process_id Companion;
  std::string Zone;       ///< Availability zone.
  peer_address Operators; ///< Its operators' port.
  std::uint64_t ConfigurationRevision = 0;
  endpoint_report Endpoint;
  companion_load Load;

  friend bool operator==(const companion_hello &,
                         const companion_hello &) = default;
};

/// First message of an entry on a link.
struct entry_hello {
  std::uint32_t Version = PeerProtocolVersion;
  process_id Entry;
  std::string Zone;       ///< Availability zone.
  peer_address Operators; ///< Its operators' port.
  std::uint64_t ConfigurationRevision = 0;
  /// Addresses of all entries, its own included.
  std::vector<peer_address> KnownEntries;

  friend bool operator==(const entry_hello &, const entry_hello &) = default;
};

/// Sent when nothing else has been sent for a heartbeat interval.
struct entry_heartbeat {
  std::uint64_t ConfigurationRevision = 0;
  std::uint64_t KnownEntriesDigest =
      0;                 ///< Changes when the list of entries changes.
  bool Stopping = false; ///< The entry shuts down and places nothing new.
  /// The entry knows that the endpoint takes nothing new, and places nothing
  /// there. A companion waits for it before a planned stop ends.
  bool LeavingSeen = false;

  friend bool operator==(const entry_heartbeat &,
                         const entry_heartbeat &) = default;
};

/// Sent when nothing else has been sent for a heartbeat interval.
struct companion_heartbeat {
  std::uint64_t ConfigurationRevision = 0;
  companion_load Load;
  std::uint32_t Entries =
      0; ///< Entries that this companion has a live link to.

  friend bool operator==(const companion_heartbeat &,
                         const companion_heartbeat &) = default;
};

/// Asks the entry to vouch for its tasks from \p At on. A companion runs an
/// entry's tasks only for a bounded time after the latest grant.
struct lease_request {
  duration At{}; ///< On the companion's own clock.

  friend bool operator==(const lease_request &,
                         const lease_request &) = default;
};

/// Answers the latest lease_request.
struct lease_grant {
  duration At{}; ///< As in the request.

  friend bool operator==(const lease_grant &, const lease_grant &) = default;
};

/// The list of entries has changed.
struct entry_list {
  std::vector<peer_address> Entries;

  friend bool operator==(const entry_list &, const entry_list &) = default;
};

/// A peer with a smaller revision is brought up to date after a random time up
/// to this, unless it tells meanwhile that it has caught up. Each entry is
/// linked to each companion, so without that time a new revision would be sent
/// on every link, and a peer that starts would receive it once from each of
/// them.
constexpr duration ConfigurationPushSpread = std::chrono::seconds(1);

/// Brings a peer with a smaller revision up to date.
struct configuration_push {
  configuration Configuration;

  friend bool operator==(const configuration_push &,
                         const configuration_push &) = default;
};

/// Asks a companion to run a task.
struct place_task {
  task_id Task;
  std::string Class;
  payload Input;
  duration Slack{}; ///< Time left until the task must start to meet its target.
  duration ExpectedRunTime{}; ///< The entry's estimate.
  std::optional<duration>
      Deadline;              ///< After this the task must not start any more.
  std::uint32_t Backlog = 0; ///< Tasks that still wait at the entry.
  task_needs Needs;
  std::string Pool;    ///< Endpoints that announce this name may run the task.
  std::string RunName; ///< Name of the job towards the endpoint.
  std::uint32_t Attempt = 1;  ///< Number of this start of the task, from 1.
  std::uint32_t Priority = 0; ///< Smaller numbers go first.
  /// A run that lasts longer is stopped, since another endpoint is likely to be
  /// faster.
  std::optional<duration> RunLimit;
  /// Endpoints that crashed under earlier starts of the task, as far as the
  /// entry knows.
  std::uint32_t Crashes = 0;
  /// The companion gives the task back at once if it could not start soon: the
  /// entry has other places for it.
  bool ReturnIfFull = false;

  friend bool operator==(const place_task &, const place_task &) = default;
};

/// The endpoint ran the task to its end.
struct task_completed {
  payload Output;
  duration RunTime{};

  friend bool operator==(const task_completed &,
                         const task_completed &) = default;
};

/// The endpoint started the task and reported a failure.
struct task_failed {
  std::string Reason;
  duration RunTime{};

  friend bool operator==(const task_failed &, const task_failed &) = default;
};

/// Why a companion gives a task back.
enum class not_started_reason : std::uint8_t {
  Withdrawn,   ///< The entry asked for it.
  Full,        ///< The queue had no room.
  Leaving,     ///< The endpoint is leaving or absent.
  Unreachable, ///< No connection to the endpoint could be opened.
  Unsupported, ///< The endpoint does not run this class or lacks what it needs.
  DeadlinePassed, ///< The deadline passed in the queue.
  Unknown, ///< The companion has never received the task and now never will run
           ///< it.
  Refused, ///< The endpoint refused the start.
};

/// \returns the reason in snake case.
std::string toString(not_started_reason Reason);

/// Proof that the task did not start and will not start on this companion.
struct task_not_started {
  not_started_reason Reason = not_started_reason::Withdrawn;

  friend bool operator==(const task_not_started &,
                         const task_not_started &) = default;
};

/// The task started, and its end is not known and never will be.
struct task_lost {
  std::string Reason;

  friend bool operator==(const task_lost &, const task_lost &) = default;
};

/// The task started and was ended before its time: by a stop, or with its
/// endpoint or its lease. Nothing of it runs any more.
struct task_stopped {
  std::string Reason;
  duration RunTime{};
  bool Overdue = false; ///< It had lasted longer than its placement allowed.

  friend bool operator==(const task_stopped &, const task_stopped &) = default;
};

using task_end = std::variant<task_completed, task_failed, task_not_started,
                              task_lost, task_stopped>;

/// A companion's last word on a task. It is kept until acknowledged.
struct task_ended {
  task_id Task;
  task_end End;
  companion_load Load; ///< After this end.

  friend bool operator==(const task_ended &, const task_ended &) = default;
};

/// Asks for queued tasks back, and for running ones to be stopped where the
/// endpoint can.
struct withdraw_tasks {
  std::vector<task_id> Tasks;

  friend bool operator==(const withdraw_tasks &,
                         const withdraw_tasks &) = default;
};

/// The companion may forget these ends.
struct acknowledge_ends {
  std::vector<task_id> Tasks;

  friend bool operator==(const acknowledge_ends &,
                         const acknowledge_ends &) = default;
};

/// Sent by an entry on a new link to a companion with outstanding tasks.
struct resume_request {
  std::vector<task_id> Outstanding;

  friend bool operator==(const resume_request &,
                         const resume_request &) = default;
};

/// Where a companion has a task that is not at its end.
enum class task_place : std::uint8_t { Queued, Running };

struct task_standing {
  task_id Task;
  task_place Place = task_place::Queued;

  friend bool operator==(const task_standing &,
                         const task_standing &) = default;
};

/// Answers resume_request for tasks not at their end; for the others task_ended
/// follows.
struct resume_reply {
  std::vector<task_standing> Standing;

  friend bool operator==(const resume_reply &, const resume_reply &) = default;
};

/// The load has changed; sent to entries that would not hear of it otherwise.
struct load_report {
  companion_load Load;

  friend bool operator==(const load_report &, const load_report &) = default;
};

/// A task with this many crashes runs alone on its endpoint, so that the next
/// crash tells whether it is at fault.
constexpr std::uint32_t AloneCrashes = 2;
/// A task is given up at this number. Only a crash while it runs alone brings
/// it there, so that no task is given up for its neighbours.
constexpr std::uint32_t FatalCrashes = 3;

/// A task under which endpoints have crashed. The names are those towards
/// endpoints, so that they outlive an entry and a resubmission.
struct crashed_task {
  std::string RunName;
  std::uint32_t Index = 0; ///< Within its job.
  std::string Class;
  /// Endpoints that have crashed, earlier ones included, or FatalCrashes once
  /// the task is known to be at fault. Of several reports of one task the
  /// greatest number holds.
  std::uint32_t Crashes = 0;

  friend bool operator==(const crashed_task &, const crashed_task &) = default;
};

/// The companion's endpoint has crashed under these tasks. Repeated on new
/// links, for entries that have started since.
struct crash_report {
  std::vector<crashed_task> Tasks;

  friend bool operator==(const crash_report &, const crash_report &) = default;
};

/// An availability zone that operators have evacuated.
struct evacuated_zone {
  std::string Zone;
  std::uint64_t RowVersion = 0; ///< Of the operators' row that names it.

  friend bool operator==(const evacuated_zone &,
                         const evacuated_zone &) = default;
};

/// All evacuated zones as of one version of the platform's store. Sent after
/// each change and on new links.
struct evacuation_update {
  std::uint64_t Version = 0; ///< Of the store; a smaller one is outdated.
  std::vector<evacuated_zone> Zones;

  friend bool operator==(const evacuation_update &,
                         const evacuation_update &) = default;
};

using peer_message =
    std::variant<companion_hello, entry_hello, companion_heartbeat,
                 entry_heartbeat, entry_list, configuration_push,
                 endpoint_report, place_task, task_ended, withdraw_tasks,
                 acknowledge_ends, resume_request, resume_reply, load_report,
                 lease_request, lease_grant, crash_report, evacuation_update>;

/// Several messages written together, with the sender's hybrid time.
struct peer_envelope {
  hybrid_time Sent;
  std::vector<peer_message> Messages;

  friend bool operator==(const peer_envelope &,
                         const peer_envelope &) = default;
};

} // namespace crocuswood
