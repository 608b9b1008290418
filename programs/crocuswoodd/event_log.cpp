#include "event_log.h"

#include <crocuswood/timeline.h>

#include <algorithm>
#include <poll.h>
#include <unistd.h>
#include <utility>

namespace crocuswood::daemon {

namespace {

constexpr std::int64_t MicrosecondsPerSecond = 1'000'000;
// A pipe takes this much at once or tells that it can't, without blocking.
constexpr std::size_t BlockBytes = 4'096;

bool isWritable() {
  pollfd Output{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
  return ::poll(&Output, 1, 0) == 1 && (Output.revents & POLLOUT) != 0;
}

} // namespace

void event_log::add(const timeline_event &Event) {
  if (!Enabled || !takeQuota(Event)) {
    return;
  }
  Lines += timeline::writeJson(Event);
  Lines += '\n';
}

bool event_log::takeQuota(const timeline_event &Event) {
  quota &Quota = Quotas[static_cast<std::size_t>(Event.Kind)];
  const std::int64_t Second =
      Event.Time.WallMicroseconds / MicrosecondsPerSecond;
  if (Second != Quota.Second) {
    noteLeftOut(Event, Quota);
    Quota = {.Second = Second};
  }
  if (Quota.Written >= LinesPerSecond) {
    ++Quota.LeftOut;
    return false;
  }
  ++Quota.Written;
  return true;
}

void event_log::noteLeftOut(const timeline_event &Event, quota &Quota) {
  if (Quota.LeftOut > 0) {
    Lines += "{\"event\":\"left_out\",\"kind\":\"";
    Lines += toString(Event.Kind);
    Lines += "\",\"lines\":" + std::to_string(Quota.LeftOut) + "}\n";
  }
}

void event_log::flush() {
  if (Lines.empty()) {
    return;
  }
  if (LostLines > 0 && isWritable()) {
    Lines = "{\"event\":\"lines_lost\",\"lines\":" +
            std::to_string(std::exchange(LostLines, 0)) + "}\n" + Lines;
  }
  std::size_t Start = 0;
  while (Start < Lines.size()) {
    // Whole lines only, so that none is torn.
    std::size_t End = Lines.rfind('\n', Start + BlockBytes - 1);
    if (End == std::string::npos || End < Start) {
      End = Lines.find('\n', Start);
    }
    const std::size_t Length = End + 1 - Start;
    if (!isWritable() ||
        ::write(STDOUT_FILENO, Lines.data() + Start, Length) < 0) {
      LostLines += static_cast<std::uint64_t>(
          std::count(Lines.begin() + static_cast<std::ptrdiff_t>(Start),
                     Lines.end(), '\n'));
      break;
    }
    Start = End + 1;
  }
  Lines.clear();
}

} // namespace crocuswood::daemon
