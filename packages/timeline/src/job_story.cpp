#include "job_story.h"

#include "event_text.h"
#include "text_form.h"

#include <crocuswood/timeline.h>

#include <algorithm>

namespace crocuswood::timeline {

namespace {

// Jobs with more tasks are summed up, with the sentences of the tasks that
// tell most.
constexpr std::size_t MaxTasksTold = 8;
constexpr std::size_t MaxHappeningsTold = 20;

// Shorter waits are not worth a reason.
constexpr std::int64_t LeastWaitTold = 1'000;

bool endsJob(event_kind Kind) {
  return Kind == event_kind::JobCompleted || Kind == event_kind::JobFailed ||
         Kind == event_kind::JobRefused;
}

// Events of processes, links and stores that may explain a job.
bool isSurrounding(event_kind Kind) {
  switch (Kind) {
  case event_kind::ProcessStarted:
  case event_kind::ProcessStopping:
  case event_kind::ProcessStopped:
  case event_kind::LinkSilent:
  case event_kind::LinkClosed:
  case event_kind::LinkResumed:
  case event_kind::PeerReplaced:
  case event_kind::EndpointLeaving:
  case event_kind::EndpointGone:
  case event_kind::EndpointSetAside:
  case event_kind::EndpointRestored:
  case event_kind::EntryOverloaded:
  case event_kind::EntryRecovered:
  case event_kind::StoreDown:
  case event_kind::StoreUp:
  case event_kind::TurnSlow:
  case event_kind::InputDropped:
  case event_kind::EndpointCrashed:
  case event_kind::EndpointRestarted:
  case event_kind::AnnouncementIgnored:
  case event_kind::LeaseWithheld:
  case event_kind::UnknownRuns:
  case event_kind::ProcessPaused:
  case event_kind::EvacuationChanged:
  case event_kind::InterferenceFound:
  case event_kind::InterferenceGone:
  case event_kind::EndpointCold:
    return true;
  default:
    return false;
  }
}

std::string withReason(std::string Text, const timeline_event &Event) {
  if (Event.Reason.empty()) {
    return Text + ".";
  }
  Text += ": " + Event.Reason;
  return Text.ends_with('.') ? Text : Text + ".";
}

std::string explainCertainty(const std::string &Certainty) {
  if (Certainty == toString(run_certainty::NotRun)) {
    return " None of its tasks has run.";
  }
  if (Certainty == toString(run_certainty::MayHaveRun)) {
    return " Some of its tasks may have run.";
  }
  return "";
}

} // namespace

job_story::job_story(const std::vector<timeline_event> &Events,
                     const job_id &Job)
    : Events(Events), Job(Job) {
  collect();
}

std::vector<std::string> job_story::tell() {
  if (Begin == nullptr) {
    return {"No event of job " + toString(Job) +
            " is known. It may be older than the events that the processes "
            "keep, or its entry was replaced."};
  }
  tellBeginning();
  tellClaim();
  tellTasks();
  tellWaiting();
  tellMeanwhile();
  tellEnd();
  return std::move(Sentences);
}

void job_story::collect() {
  const timeline_event *WaitsFrom = nullptr;
  for (const timeline_event &Event : Events) {
    if (Event.Job != Job) {
      continue;
    }
    // Endpoints have a clock of their own.
    if (Event.Kind != event_kind::EndpointRan) {
      Begin = Begin == nullptr ? &Event : Begin;
      End = &Event;
    }
    Involved.insert(Event.Process.Name);
    if (!Event.Peer.empty()) {
      Involved.insert(Event.Peer);
    }
    if (!Event.Task) {
      JobEvents.push_back(&Event);
      WaitsFrom = Event.Kind == event_kind::JobAccepted ? &Event : WaitsFrom;
      continue;
    }
    if (Begin == nullptr) {
      continue;
    }
    const timeline_event &Accepted = WaitsFrom != nullptr ? *WaitsFrom : *Begin;
    Tasks.try_emplace(*Event.Task, *Event.Task, Accepted)
        .first->second.add(Event);
  }
}

void job_story::tellBeginning() {
  const timeline_event *Submitted = find(event_kind::JobSubmitted);
  if (Submitted == nullptr) {
    Sentences.push_back("The beginning of job " + toString(Job) +
                        " is no longer known; the first event is of " +
                        formatTime(Begin->Time) + " UTC.");
    return;
  }
  std::string Text = "Job " + toString(Job) + " with " +
                     formatCount(Submitted->Value, "task") + " of class " +
                     Submitted->Class + " was submitted by team " +
                     Submitted->Team + " to entry " + Submitted->Process.Name +
                     " at " + formatTime(Submitted->Time) + " UTC";
  if (!Submitted->Key.empty()) {
    Text += " under the idempotency key '" + Submitted->Key + "'";
  }
  Sentences.push_back(Text + ".");
}

void job_story::tellClaim() {
  const timeline_event *Asked = find(event_kind::ClaimAsked);
  if (Asked == nullptr) {
    return;
  }
  const std::string Beginning = "Its key was claimed in the table service";
  if (const auto *Confirmed = find(event_kind::ClaimConfirmed)) {
    Sentences.push_back(Beginning + " within " +
                        formatBetween(*Asked, *Confirmed) + ".");
    return;
  }
  if (const auto *Held = find(event_kind::ClaimHeld)) {
    Sentences.push_back(withReason("An earlier attempt holds its key", *Held));
    return;
  }
  if (const auto *Unknown = find(event_kind::ClaimUnknown)) {
    Sentences.push_back(withReason(
        "The table service gave no usable answer to the claim of its key "
        "within " +
            formatBetween(*Asked, *Unknown),
        *Unknown));
    return;
  }
  Sentences.push_back("The claim of its key has no answer yet.");
}

void job_story::tellTasks() {
  if (Tasks.size() <= MaxTasksTold) {
    for (const auto &Entry : Tasks) {
      Sentences.push_back(Entry.second.tell());
    }
    return;
  }
  std::size_t Started = 0;
  std::size_t Troubled = 0;
  for (const auto &Entry : Tasks) {
    Started += Entry.second.isStarted() ? 1 : 0;
    Troubled += Entry.second.hasTrouble() ? 1 : 0;
  }
  Sentences.push_back("Of the tasks with events, " + std::to_string(Started) +
                      " of " + std::to_string(Tasks.size()) + " started, and " +
                      std::to_string(Troubled) +
                      " did not go straight to their end.");
  std::size_t Told = 0;
  for (const auto &Entry : Tasks) {
    if (Entry.second.hasTrouble() && Told < MaxTasksTold) {
      Sentences.push_back(Entry.second.tell());
      ++Told;
    }
  }
  if (Told < Troubled) {
    Sentences.push_back(std::to_string(Troubled - Told) +
                        " more of these are left out here.");
  }
}

void job_story::tellWaiting() {
  const task_story *AtEntry = nullptr;
  const task_story *InQueue = nullptr;
  for (const auto &[Index, Task] : Tasks) {
    if (AtEntry == nullptr || Task.getEntryWait() > AtEntry->getEntryWait()) {
      AtEntry = &Task;
    }
    if (InQueue == nullptr || Task.getQueueWait() > InQueue->getQueueWait()) {
      InQueue = &Task;
    }
  }
  if (AtEntry != nullptr && AtEntry->getEntryWait() >= LeastWaitTold) {
    const std::int64_t Others =
        countOtherPlacements(*AtEntry->getFirstPlacement());
    Sentences.push_back("The longest wait at the entry was " +
                        formatSpan(AtEntry->getEntryWait()) + ", of task " +
                        std::to_string(AtEntry->getIndex()) +
                        "; before its placement the "
                        "entry placed " +
                        formatCount(Others, "task") + " of other jobs.");
  }
  if (InQueue != nullptr && InQueue->getQueueWait() >= LeastWaitTold) {
    Sentences.push_back("The longest time from a placement to a start was " +
                        formatSpan(InQueue->getQueueWait()) + ", of task " +
                        std::to_string(InQueue->getIndex()) + ".");
  }
}

void job_story::tellMeanwhile() {
  std::size_t Told = 0;
  for (const timeline_event &Event : Events) {
    if (!isSurrounding(Event.Kind) || Event.Time < Begin->Time ||
        End->Time < Event.Time || !isInvolved(Event)) {
      continue;
    }
    if (Told == MaxHappeningsTold) {
      Sentences.push_back("More happened meanwhile; the time line has it.");
      return;
    }
    Sentences.push_back(
        withReason("Meanwhile, " + formatBetween(*Begin, Event) +
                       " after the submission, " + Event.Process.Name +
                       " noted: " + writeHappening(Event),
                   Event));
    ++Told;
  }
}

void job_story::tellEnd() {
  const auto Position = std::find_if(
      JobEvents.begin(), JobEvents.end(),
      [](const timeline_event *Event) { return endsJob(Event->Kind); });
  if (const auto *Cancelled = find(event_kind::CancelAsked)) {
    Sentences.push_back(withReason("Its cancellation was asked for " +
                                       formatBetween(*Begin, *Cancelled) +
                                       " after the submission",
                                   *Cancelled));
  }
  if (Position == JobEvents.end()) {
    Sentences.push_back("No end of the job is known.");
    return;
  }
  const timeline_event &Ended = **Position;
  const std::string After = " after " + formatBetween(*Begin, Ended);
  if (Ended.Kind == event_kind::JobCompleted) {
    Sentences.push_back("It completed" + After + ".");
  } else {
    const std::string Verb =
        Ended.Kind == event_kind::JobRefused ? "It was refused" : "It failed";
    Sentences.push_back(
        withReason(Verb + After + " with " + Ended.Code, Ended) +
        explainCertainty(Ended.Certainty));
  }
  if (const auto *Sent = find(event_kind::AnswerSent)) {
    Sentences.push_back("The answer was handed to the caller's connection " +
                        formatBetween(Ended, *Sent) + " later.");
  } else if (find(event_kind::AnswerDropped) != nullptr) {
    Sentences.push_back("Nobody received the answer: the caller had gone.");
  }
}

const timeline_event *job_story::find(event_kind Kind) const {
  const auto Position = std::find_if(
      JobEvents.begin(), JobEvents.end(),
      [Kind](const timeline_event *Event) { return Event->Kind == Kind; });
  return Position == JobEvents.end() ? nullptr : *Position;
}

bool job_story::isInvolved(const timeline_event &Event) const {
  if (!Involved.contains(Event.Process.Name)) {
    return false;
  }
  return Event.Peer.empty() || Involved.contains(Event.Peer);
}

std::int64_t
job_story::countOtherPlacements(const timeline_event &Until) const {
  return std::count_if(
      Events.begin(), Events.end(), [&](const timeline_event &Event) {
        return Event.Kind == event_kind::TaskPlaced && Event.Job != Job &&
               Event.Process == Until.Process && Begin->Time < Event.Time &&
               Event.Time < Until.Time;
      });
}

std::vector<std::string> explain(const std::vector<timeline_event> &Events,
                                 const job_id &Job) {
  return job_story(Events, Job).tell();
}

} // namespace crocuswood::timeline
