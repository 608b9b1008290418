/// \file
/// Events of the time line that all processes write.
#pragma once

#include <crocuswood/model/ids.h>
#include <crocuswood/model/time.h>

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace crocuswood {

/// What happened. Each value names the fields of timeline_event that it fills
/// besides the time, the process and `Reason`.
enum class event_kind : std::uint8_t {
  ProcessStarted,
  ProcessStopping,
  ProcessStopped,

  JobSubmitted,  ///< Job, Class, Team, Key, Digest (of the request), Value
                 ///< (number of tasks).
  JobRefused,    ///< Job, Class, Team, Code; the caller was told `not_run`.
  JobAccepted,   ///< Job, Class, Team; Code `late` if it can't be on time;
                 ///< Reason with what admission went by.
  JobCompleted,  ///< Job, Class, Digest (of the outcome); a complete answer.
  JobFailed,     ///< Job, Class, Code, Certainty.
  AnswerSent,    ///< Job, Digest (of the outcome); handed to the caller's
                 ///< connection.
  AnswerDropped, ///< Job; the caller had gone away.
  CancelAsked,   ///< Job.
  JobTakenOver,  ///< Job, Class, Key (the caller's id); it arrived again.

  TaskPlaced,      ///< Task, Class, Peer (companion), Value (age of the load
                   ///< that it was chosen by, in microseconds); written to a
                   ///< link.
  TaskWithdrawn,   ///< Task, Peer; asked back.
  TaskReturned,    ///< Task, Peer; the entry learned that it had not started.
  TaskResultTaken, ///< Task, Peer, Digest (of the output); the entry took the
                   ///< end.
  TaskResultStale, ///< Task, Peer; an end that matches nothing outstanding.
  TaskRepeated,    ///< Task, Peer; its run there has ended and another follows.
  TaskUncertain,   ///< Task, Peer; the entry learned that it may have run.

  TaskQueued,     ///< Task, Class, Peer (entry).
  TaskDuplicate,  ///< Task, Peer; placed again and ignored.
  TaskStarted,    ///< Task, Class, Peer (endpoint); irreversible.
  TaskEnded,      ///< Task, Digest (of the output), Value (run time in
                  ///< microseconds).
  TaskFailed,     ///< Task, Value (run time in microseconds).
  TaskNotStarted, ///< Task.
  TaskLost,       ///< Task.
  TaskStopped,    ///< Task, Value (run time in microseconds); ended early.
  EndpointRan, ///< Task, Class; written by the endpoint itself when it starts a
               ///< task.

  LinkOpened,   ///< Peer.
  LinkSilent,   ///< Peer.
  LinkClosed,   ///< Peer.
  LinkResumed,  ///< Peer, Value (outstanding tasks).
  PeerReplaced, ///< Peer; a known name came back with a new incarnation.

  EndpointAnnounced, ///< Peer (endpoint), Value (slots).
  EndpointLeaving,   ///< Peer (endpoint).
  EndpointGone,      ///< Peer (endpoint).
  EndpointSetAside,  ///< Peer (companion); receives no work but probes.
  EndpointRestored,  ///< Peer (companion).

  ClaimAsked,     ///< Job, Key.
  ClaimConfirmed, ///< Job, Key.
  ClaimHeld,      ///< Job, Key; an earlier attempt holds it.
  ClaimUnknown,   ///< Job, Key; the table service gave no usable answer.
  ClaimSettled,   ///< Job, Key; the outcome is stored.

  ConfigurationAccepted, ///< Value (revision); the table service confirmed the
                         ///< change.
  ConfigurationInForce,  ///< Value (revision).
  ConfigurationIgnored,  ///< Value (revision); not greater than the one in
                         ///< force.
  EntryOverloaded,       ///< Value (microseconds late); callers are sent away.
  EntryRecovered,        ///< Value (microseconds late).
  StoreDown,
  StoreUp,
  TurnSlow, ///< Value (microseconds of one turn of the decisions), Reason (its
            ///< longest part).
  InputDropped, ///< Value (bytes); a caller's connection has ended with input
                ///< that came after its last answer or was read only after
                ///< the caller had left.
  EndpointCrashed,   ///< Peer (endpoint), Value (tasks that were on it), Reason
                     ///< (those that it probably crashed under).
  EndpointRestarted, ///< Peer (endpoint), Reason (both lives and what told of
                     ///< the new one), Value (runs that it ended).
  AnnouncementIgnored, ///< Peer (who announced itself).
  LeaseWithheld,       ///< Peer (endpoint), Value (runs without a renewal).
  UnknownRuns, ///< Peer (endpoint), Value (listed runs that this companion did
               ///< not order in its life), Reason (one of them).
  ProcessPaused,     ///< Value (microseconds between two turns of the decisions
                     ///< that follow each other sooner in a process that runs).
  EvacuationChanged, ///< Value (on an entry the slots left, on a companion 1 if
                     ///< its own zone is evacuated), Reason (zones, rows, store
                     ///< version, source).
  EvacuationOutdated, ///< Peer, Value (its store version); a peer told an older
                      ///< state than the one held, and was told that one.
  EvacuationDrained,  ///< Value (microseconds from the evacuation of the
                      ///< companion's zone to the end of its last task).
  InterferenceFound,  ///< Class, Key (the neighbour's class), Value (slowdown
                      ///< at full share, in thousandths), Reason (its bounds
                      ///< and the runs that it follows from).
  InterferenceGone,   ///< As InterferenceFound; no longer believed.
  EndpointCold,       ///< Peer (companion), Value (microseconds for which it is
                      ///< slow after its start), Reason (slots offered now and
                      ///< in the end).
};

/// Tables by kind have this many places.
constexpr std::size_t EventKindCount =
    static_cast<std::size_t>(event_kind::EndpointCold) + 1;

/// \returns the kind in snake case, such as `task_started`.
std::string_view toString(event_kind Kind);
/// \returns nothing if \p Text names no kind.
std::optional<event_kind> parseEventKind(std::string_view Text);

/// One event of the time line. The core fills everything but `Time` and
/// `Process`.
struct timeline_event {
  event_kind Kind = event_kind::ProcessStarted;
  hybrid_time Time;
  process_id Process; ///< Who wrote the event.
  std::optional<job_id> Job;
  std::optional<std::uint32_t> Task; ///< Index within `Job`.
  std::string Class;
  std::string Team;
  std::string Key;    ///< Idempotency key.
  std::string Peer;   ///< Name of the other process or endpoint.
  std::string Code;   ///< A failure_code or not_started_reason in snake case.
  std::string Reason; ///< A short sentence for people.
  std::string
      Certainty; ///< `not_run` or `may_have_run`, for JobRefused and JobFailed.
  std::uint64_t Digest = 0;
  std::int64_t Value = 0;

  friend auto operator<=>(const timeline_event &,
                          const timeline_event &) = default;
};

} // namespace crocuswood
