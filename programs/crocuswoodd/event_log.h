/// \file
/// Decisions and changes as JSON lines on standard output.
#pragma once

#include <crocuswood/model.h>

#include <array>
#include <cstdint>
#include <string>

namespace crocuswood::daemon {

/// Writes an event as one line. The volume is bounded for each kind, and a
/// reader that stalls costs lines and nothing else; both are counted.
class event_log {
public:
  explicit event_log(bool Enabled) : Enabled(Enabled) {}

  void add(const timeline_event &Event);
  /// Writes what was added, if the reader takes it now.
  void flush();
  bool isEmpty() const { return Lines.empty(); }

private:
  /// Lines of one kind within a second.
  static constexpr std::uint32_t LinesPerSecond = 200;

  struct quota {
    std::int64_t Second = 0;
    std::uint32_t Written = 0;
    std::uint32_t LeftOut = 0;
  };

  bool takeQuota(const timeline_event &Event);
  void noteLeftOut(const timeline_event &Event, quota &Quota);

  bool Enabled;
  std::array<quota, EventKindCount> Quotas{};
  std::string Lines;
  std::uint64_t LostLines = 0; ///< Not taken by the reader.
};

} // namespace crocuswood::daemon
