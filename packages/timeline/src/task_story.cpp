#include "task_story.h"

#include "event_text.h"
#include "text_form.h"

namespace crocuswood::timeline {

namespace {

std::string writeReason(const timeline_event &Event) {
  if (Event.Code.empty() && Event.Reason.empty()) {
    return "";
  }
  const std::string Separator =
      Event.Code.empty() || Event.Reason.empty() ? "" : ": ";
  return " (" + Event.Code + Separator + Event.Reason + ")";
}

// \returns the word that makes a clause of what happened.
std::string findVerb(event_kind Kind) {
  switch (Kind) {
  case event_kind::TaskFailed:
  case event_kind::TaskUncertain:
    return "";
  case event_kind::TaskResultStale:
    return "had a ";
  default:
    return "was ";
  }
}

} // namespace

void task_story::add(const timeline_event &Event) {
  switch (Event.Kind) {
  case event_kind::TaskPlaced:
    addPlacement(Event);
    return;
  case event_kind::TaskStarted:
    addStart(Event);
    return;
  case event_kind::TaskEnded:
    LastEnd = &Event;
    Clauses.push_back("ran for " + formatSpan(Event.Value));
    return;
  case event_kind::TaskResultTaken:
    Clauses.push_back(LastEnd == nullptr
                          ? "its end reached the entry"
                          : "its end reached the entry " +
                                formatBetween(*LastEnd, Event) + " later");
    return;
  case event_kind::TaskReturned:
    WaitingSince = &Event;
    addTrouble(Event);
    return;
  case event_kind::TaskFailed:
    LastEnd = &Event;
    addTrouble(Event);
    return;
  case event_kind::TaskQueued:
  case event_kind::TaskNotStarted: // Told by the entry's task_returned.
  case event_kind::EndpointRan:    // By the endpoint's own clock.
    return;
  default:
    addTrouble(Event);
    return;
  }
}

void task_story::addPlacement(const timeline_event &Event) {
  const timeline_event *Since =
      WaitingSince != nullptr ? WaitingSince : Accepted;
  EntryWait += Event.Time.WallMicroseconds - Since->Time.WallMicroseconds;
  Clauses.push_back("waited " + formatBetween(*Since, Event) +
                    " at the entry before it was placed on companion " +
                    Event.Peer);
  if (FirstPlacement == nullptr) {
    FirstPlacement = &Event;
  }
  LastPlacement = &Event;
}

void task_story::addStart(const timeline_event &Event) {
  Started = true;
  if (LastPlacement == nullptr) {
    Clauses.push_back("started on endpoint " + Event.Peer);
    return;
  }
  QueueWait +=
      Event.Time.WallMicroseconds - LastPlacement->Time.WallMicroseconds;
  Clauses.push_back("started on endpoint " + Event.Peer + " " +
                    formatBetween(*LastPlacement, Event) + " later");
}

void task_story::addTrouble(const timeline_event &Event) {
  Trouble = true;
  Clauses.push_back(findVerb(Event.Kind) + writeHappening(Event) +
                    writeReason(Event));
}

std::string task_story::tell() const {
  std::string Text = "Task " + std::to_string(Index);
  if (Clauses.empty()) {
    return Text + " was never placed.";
  }
  Text += " " + Clauses.front();
  for (std::size_t Position = 1; Position < Clauses.size(); ++Position) {
    Text += ", then " + Clauses[Position];
  }
  return Text + ".";
}

} // namespace crocuswood::timeline
