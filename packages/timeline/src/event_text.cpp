#include "event_text.h"

#include "text_form.h"

#include <crocuswood/timeline.h>

#include <array>
#include <string_view>

namespace crocuswood::timeline {

namespace {

// In the order of event_kind. `%peer`, `%key`, `%value`, `%span` and `%code`
// are replaced by the event's fields; `%value` is a plain number, `%span` a
// number of microseconds.
constexpr std::array<std::string_view, EventKindCount> Happenings = {
    "process started",
    "process is stopping",
    "process stopped",
    "submitted with %value task(s)",
    "refused (%code)",
    "accepted",
    "completed",
    "failed (%code)",
    "answer sent to the caller",
    "answer dropped, since the caller had gone",
    "cancellation asked for",
    "arrived again under the caller's id %key",
    "placed on companion %peer",
    "asked back from companion %peer",
    "given back by companion %peer without a start",
    "result taken from companion %peer",
    "late result from companion %peer ignored",
    "run on companion %peer has ended early; it runs again",
    "may have run on companion %peer",
    "queued for entry %peer",
    "placed a second time by entry %peer and ignored",
    "started on endpoint %peer",
    "ended after %span",
    "failed after %span",
    "not started",
    "lost: its end will never be known",
    "ended early after %span",
    "ran on the endpoint",
    "link to %peer opened",
    "link to %peer is silent",
    "link to %peer closed",
    "link to %peer resumed with %value task(s) outstanding",
    "%peer came back as a new process",
    "endpoint %peer announced itself with %value slot(s)",
    "endpoint %peer is leaving",
    "endpoint %peer is gone",
    "companion %peer set aside",
    "companion %peer takes work again",
    "claim of key %key asked for",
    "claim of key %key confirmed",
    "key %key is held by an earlier attempt",
    "claim of key %key got no usable answer",
    "outcome stored under key %key",
    "configuration revision %value accepted",
    "configuration revision %value in force",
    "configuration revision %value ignored",
    "the entry can't keep up and sends callers away",
    "the entry keeps up again",
    "table service is down",
    "table service is up",
    "a turn of the decisions took %span",
    "dropped input that came after the last answer or whose caller had left",
    "endpoint %peer crashed under %value task(s)",
    "endpoint %peer began another life, which ended %value run(s)",
    "announcement of %peer ignored",
    "the lease of %value run(s) on endpoint %peer is not renewed",
    "endpoint %peer lists %value run(s) that nobody has ordered",
    "the process did nothing for %span",
    "the evacuated zones have changed",
    "%peer told outdated evacuated zones",
    "the evacuated zone was empty after %span",
    "tasks are slowed down by those of class %key",
    "tasks are no longer slowed down by those of class %key",
    "the endpoint of %peer is slow for %span after its start",
};
static_assert(!Happenings.back().empty());

std::string findValue(const timeline_event &Event, std::string_view Name) {
  if (Name == "peer") {
    return Event.Peer;
  }
  if (Name == "key") {
    return "'" + Event.Key + "'";
  }
  if (Name == "value") {
    return std::to_string(Event.Value);
  }
  if (Name == "span") {
    return formatSpan(Event.Value);
  }
  return Event.Code;
}

// Puts the event's fields into its phrase.
std::string fill(std::string_view Phrase, const timeline_event &Event) {
  std::string Text;
  while (!Phrase.empty()) {
    const std::size_t Mark = Phrase.find('%');
    Text += Phrase.substr(0, Mark);
    if (Mark == std::string_view::npos) {
      break;
    }
    Phrase.remove_prefix(Mark + 1);
    const std::size_t Length = std::min(
        Phrase.find_first_not_of("abcdefghijklmnopqrstuvwxyz"), Phrase.size());
    Text += findValue(Event, Phrase.substr(0, Length));
    Phrase.remove_prefix(Length);
  }
  return Text;
}

std::string nameSubject(const timeline_event &Event) {
  if (!Event.Job) {
    return "";
  }
  if (!Event.Task) {
    return "job " + toString(*Event.Job) + ": ";
  }
  return "task " + std::to_string(*Event.Task) + " of job " +
         toString(*Event.Job) + ": ";
}

} // namespace

std::string writeHappening(const timeline_event &Event) {
  return fill(Happenings.at(static_cast<std::size_t>(Event.Kind)), Event);
}

std::string describe(const timeline_event &Event) {
  std::string Text = formatTime(Event.Time) + "  " + Event.Process.Name + "  " +
                     nameSubject(Event) + writeHappening(Event);
  if (!Event.Certainty.empty()) {
    Text += ", " + Event.Certainty;
  }
  if (!Event.Class.empty()) {
    Text += ", class " + Event.Class;
  }
  if (!Event.Team.empty()) {
    Text += ", team " + Event.Team;
  }
  if (!Event.Reason.empty()) {
    Text += ": " + Event.Reason;
  }
  return Text;
}

} // namespace crocuswood::timeline
