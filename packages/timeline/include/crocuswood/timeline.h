/// \file
/// Public header of the package timeline: hybrid logical time, the bounded
/// store of events, merging, formats and explanations.
#pragma once

#include <crocuswood/model.h>

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::timeline {

/// Issues hybrid times that grow, also against the times received from peers.
class hybrid_clock {
public:
  /// \p WallMicroseconds is the wall clock now; it may go back.
  hybrid_time next(std::int64_t WallMicroseconds);
  /// Takes note of a time received from a peer. Times more than \p MaxAhead
  /// ahead of the wall clock are ignored. \returns false for those.
  bool observe(const hybrid_time &Received, std::int64_t WallMicroseconds,
               duration MaxAhead = std::chrono::minutes(1));

private:
  hybrid_time Last;
};

/// Keeps the latest events, up to a number of events. Not thread-safe: one duty
/// owns it.
class event_store {
public:
  explicit event_store(std::size_t MaxEvents);
  void add(timeline_event Event);
  /// \returns all events, or only those of \p Job, in the order of adding.
  std::vector<timeline_event>
  getEvents(std::optional<job_id> Job = std::nullopt) const;
  /// \returns how many events were dropped to stay within the bound.
  std::uint64_t getDropped() const { return Dropped; }

private:
  std::size_t MaxEvents;
  std::vector<timeline_event> Ring; ///< Grows to `MaxEvents`, then wraps.
  std::size_t Oldest = 0;           ///< Index of the oldest event in `Ring`.
  std::uint64_t Dropped = 0;
};

/// Times the parts of one turn of the decisions. A turn delays everything else
/// on its thread: heartbeats, callers, dials.
class turn_watch {
public:
  using time_point = std::chrono::steady_clock::time_point;

  explicit turn_watch(time_point Begin) : LastEnd(Begin) {}

  /// Ends a part that began with the end of the one before. \p Part is a
  /// literal that names it.
  void note(const char *Part, time_point Now);
  /// \returns an event if the turn took too long, with its longest part.
  std::optional<timeline_event> report() const;

private:
  time_point LastEnd;
  time_point::duration Total{};
  time_point::duration Longest{};
  const char *LongestPart = "";
};

/// Notices that a process whose turns follow each other within a known time had
/// none for longer: it was frozen, suspended or had no processor. What it reads
/// next may have been sent long ago.
class pause_watch {
public:
  /// \p LongestGap is the longest time between two turns that is no pause.
  explicit pause_watch(duration LongestGap) : LongestGap(LongestGap) {}

  void setLongestGap(duration Value) { LongestGap = Value; }

  /// Notes the begin of a turn. \returns the time since the one before, if that
  /// was a pause. \p Now counts the time for which the VM was suspended.
  std::optional<duration> note(instant Now);

private:
  duration LongestGap;
  std::optional<instant> LatestTurn;
};

/// \returns one JSON object without line breaks.
std::string writeJson(const timeline_event &Event);
checked<timeline_event> parseJson(std::string_view Line,
                                  const std::string &Source,
                                  std::uint32_t LineNumber);
/// Parses JSON lines. Reports every bad line.
checked<std::vector<timeline_event>> parseJsonLines(std::string_view Text,
                                                    const std::string &Source);

/// \returns the events of all processes in causal order: by hybrid time, then
/// by process.
std::vector<timeline_event>
merge(std::vector<std::vector<timeline_event>> Parts);

/// \returns a line for people: time, process, what happened.
std::string describe(const timeline_event &Event);

/// \returns sentences that tell why \p Job waited, where its tasks ran, and how
/// it ended.
std::vector<std::string> explain(const std::vector<timeline_event> &Events,
                                 const job_id &Job);

/// \returns the events in the Trace Event Format (JSON) that trace viewers
/// open.
std::string writeTraceEvents(const std::vector<timeline_event> &Events);

} // namespace crocuswood::timeline
