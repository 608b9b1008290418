#include "trace_writer.h"

#include "event_text.h"

#include <crocuswood/timeline.h>

#include <algorithm>

namespace crocuswood::timeline {

namespace {

// Row 0 of a process holds its marks.
constexpr std::int64_t MarkRow = 0;

std::string nameTask(const timeline_event &Event) {
  return toString(*Event.Job) + "." + std::to_string(*Event.Task);
}

bool endsTask(event_kind Kind) {
  return Kind == event_kind::TaskEnded || Kind == event_kind::TaskFailed ||
         Kind == event_kind::TaskLost || Kind == event_kind::TaskStopped;
}

bool endsJob(event_kind Kind) {
  return Kind == event_kind::JobCompleted || Kind == event_kind::JobFailed ||
         Kind == event_kind::JobRefused;
}

nlohmann::json nameRow(const char *What, std::int64_t Process, std::int64_t Row,
                       const std::string &Name) {
  return {{"ph", "M"},
          {"name", What},
          {"pid", Process},
          {"tid", Row},
          {"args", {{"name", Name}}}};
}

} // namespace

void trace_writer::add(const timeline_event &Event) {
  getRows(Event.Process).LastMicroseconds = Event.Time.WallMicroseconds;
  const bool HasTask = Event.Job && Event.Task;
  if (HasTask && Event.Kind == event_kind::TaskStarted) {
    begin(Event, nameTask(Event), Event.Class + " task " + nameTask(Event));
    return;
  }
  if (Event.Job && Event.Kind == event_kind::JobSubmitted) {
    begin(Event, toString(*Event.Job),
          Event.Class + " job " + toString(*Event.Job));
    return;
  }
  if (HasTask && endsTask(Event.Kind) && end(Event, nameTask(Event))) {
    return;
  }
  if (Event.Job && endsJob(Event.Kind) && end(Event, toString(*Event.Job))) {
    return;
  }
  mark(Event);
}

std::string trace_writer::finish() {
  for (const auto &[Key, Span] : Open) {
    write(Key.first, Span, getRows(Key.first).LastMicroseconds, "not known");
  }
  Open.clear();
  for (const auto &[Process, Rows] : Processes) {
    Written.push_back(
        nameRow("process_name", Rows.Number, MarkRow, Process.Name));
    Written.push_back(nameRow("thread_name", Rows.Number, MarkRow, "events"));
  }
  const nlohmann::json Document = {{"displayTimeUnit", "ms"},
                                   {"traceEvents", std::move(Written)}};
  Written = nlohmann::json::array();
  return Document.dump(-1, ' ', false,
                       nlohmann::json::error_handler_t::replace);
}

trace_writer::process_rows &trace_writer::getRows(const process_id &Process) {
  const auto [Position, IsNew] = Processes.try_emplace(Process);
  if (IsNew) {
    Position->second.Number = static_cast<std::int64_t>(Processes.size());
  }
  return Position->second;
}

void trace_writer::begin(const timeline_event &Event, const std::string &Id,
                         const std::string &Name) {
  process_rows &Rows = getRows(Event.Process);
  if (Rows.FreeRows.empty()) {
    Rows.FreeRows.insert(++Rows.Rows);
  }
  const std::int64_t Row = *Rows.FreeRows.begin();
  const bool IsNew =
      Open.try_emplace(
              {Event.Process, Id},
              open_span{.Name = Name,
                        .Row = Row,
                        .StartMicroseconds = Event.Time.WallMicroseconds})
          .second;
  if (IsNew) {
    Rows.FreeRows.erase(Row);
  }
}

bool trace_writer::end(const timeline_event &Event, const std::string &Id) {
  const auto Position = Open.find({Event.Process, Id});
  if (Position == Open.end()) {
    return false;
  }
  write(Event.Process, Position->second, Event.Time.WallMicroseconds,
        writeHappening(Event));
  getRows(Event.Process).FreeRows.insert(Position->second.Row);
  Open.erase(Position);
  return true;
}

void trace_writer::write(const process_id &Process, const open_span &Span,
                         std::int64_t EndMicroseconds,
                         const std::string &Ending) {
  Written.push_back({{"ph", "X"},
                     {"name", Span.Name},
                     {"pid", getRows(Process).Number},
                     {"tid", Span.Row},
                     {"ts", Span.StartMicroseconds},
                     {"dur", EndMicroseconds - Span.StartMicroseconds},
                     {"args", {{"end", Ending}}}});
}

void trace_writer::mark(const timeline_event &Event) {
  Written.push_back({{"ph", "i"},
                     {"s", "t"},
                     {"name", toString(Event.Kind)},
                     {"pid", getRows(Event.Process).Number},
                     {"tid", MarkRow},
                     {"ts", Event.Time.WallMicroseconds},
                     {"args", {{"text", describe(Event)}}}});
}

std::string writeTraceEvents(const std::vector<timeline_event> &Events) {
  trace_writer Writer;
  for (const timeline_event &Event : Events) {
    Writer.add(Event);
  }
  return Writer.finish();
}

} // namespace crocuswood::timeline
