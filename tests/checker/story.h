/// \file
/// Builds small time lines for the checker's tests.
#pragma once

#include <crocuswood/checker.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace crocuswood::checker {

/// A time line with an entry, a companion and its endpoint. Every event is a
/// millisecond later than the one before.
class story {
public:
  process_id Entry{.Name = "entry", .Incarnation = incarnation{1}};
  process_id Companion{.Name = "companion", .Incarnation = incarnation{2}};
  process_id Endpoint{.Name = "endpoint"};
  std::vector<timeline_event> Events;

  timeline_event &add(const process_id &Process, event_kind Kind) {
    Now += 1'000;
    Events.push_back(
        {.Kind = Kind, .Time = {.WallMicroseconds = Now}, .Process = Process});
    return Events.back();
  }
  timeline_event &addJob(const process_id &Process, event_kind Kind,
                         std::uint64_t Job = 1) {
    timeline_event &Event = add(Process, Kind);
    Event.Job = job_id{.Entry = Entry.Incarnation, .Sequence = Job};
    return Event;
  }
  timeline_event &addTask(const process_id &Process, event_kind Kind,
                          std::uint64_t Job = 1, std::uint32_t Task = 0) {
    timeline_event &Event = addJob(Process, Kind, Job);
    Event.Task = Task;
    return Event;
  }
  void wait(duration Span) { Now += Span.count(); }

  /// Both daemons start, with revision 1 in force.
  void start() {
    for (const process_id &Process : {Entry, Companion}) {
      add(Process, event_kind::ProcessStarted);
      add(Process, event_kind::ConfigurationInForce).Value = 1;
    }
  }
  /// A job of one task, up to its start.
  void submit(std::uint64_t Job = 1, const std::string &Key = "") {
    timeline_event &Submitted = addJob(Entry, event_kind::JobSubmitted, Job);
    Submitted.Team = "team";
    Submitted.Key = Key;
    Submitted.Value = 1;
    Submitted.Digest = 7;
    addJob(Entry, event_kind::JobAccepted, Job);
    addTask(Entry, event_kind::TaskPlaced, Job).Peer = Companion.Name;
    addTask(Companion, event_kind::TaskQueued, Job).Peer = Entry.Name;
    addTask(Companion, event_kind::TaskStarted, Job).Peer = Endpoint.Name;
    addTask(Endpoint, event_kind::EndpointRan, Job);
  }
  /// The rest of its way.
  void complete(std::uint64_t Job = 1) {
    addTask(Companion, event_kind::TaskEnded, Job).Digest = 5;
    timeline_event &Taken = addTask(Entry, event_kind::TaskResultTaken, Job);
    Taken.Peer = Companion.Name;
    Taken.Digest = 5;
    addJob(Entry, event_kind::JobCompleted, Job).Digest = 9;
    addJob(Entry, event_kind::AnswerSent, Job).Digest = 9;
  }
  void fail(const std::string &Certainty, std::uint64_t Job = 1) {
    timeline_event &Failed = addJob(Entry, event_kind::JobFailed, Job);
    Failed.Code = "endpoint_lost";
    Failed.Certainty = Certainty;
  }
  void stop(const process_id &Process) {
    add(Process, event_kind::ProcessStopping);
    add(Process, event_kind::ProcessStopped);
  }

  /// \returns the rules that are broken, each once.
  std::vector<rule> broken(const limits &Limits = {}) const {
    std::vector<rule> Rules;
    for (const violation &Violation : judge(Events, Limits).Violations) {
      if (std::find(Rules.begin(), Rules.end(), Violation.Rule) ==
          Rules.end()) {
        Rules.push_back(Violation.Rule);
      }
    }
    return Rules;
  }
  bool breaks(rule Rule) const { return broken() == std::vector<rule>{Rule}; }
  bool isClean() const { return broken().empty(); }

private:
  std::int64_t Now = 1'000'000'000;
};

} // namespace crocuswood::checker
