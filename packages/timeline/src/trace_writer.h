/// \file
/// Writes the Trace Event Format that trace viewers open.
#pragma once

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace crocuswood::timeline {

/// Takes events in causal order. Each process gets a group of rows; jobs and
/// running tasks are spans in it, on rows where they don't overlap, and other
/// events are marks.
class trace_writer {
public:
  void add(const timeline_event &Event);
  /// Closes the spans that are still open. \returns the document.
  std::string finish();

private:
  struct process_rows {
    std::int64_t Number = 0;
    std::set<std::int64_t> FreeRows;
    std::int64_t Rows = 0; ///< Rows in use or free.
    std::int64_t LastMicroseconds = 0;
  };
  struct open_span {
    std::string Name;
    std::int64_t Row = 0;
    std::int64_t StartMicroseconds = 0;
  };
  /// A job, or a task of it, in one process.
  using span_key = std::pair<process_id, std::string>;

  process_rows &getRows(const process_id &Process);
  void begin(const timeline_event &Event, const std::string &Id,
             const std::string &Name);
  bool end(const timeline_event &Event, const std::string &Id);
  void write(const process_id &Process, const open_span &Span,
             std::int64_t EndMicroseconds, const std::string &Ending);
  void mark(const timeline_event &Event);

  std::map<process_id, process_rows> Processes;
  std::map<span_key, open_span> Open;
  nlohmann::json Written = nlohmann::json::array();
};

} // namespace crocuswood::timeline
