/// \file
/// Heartbeats of a link, with and without work on it.
#pragma once

#include <crocuswood/model/time.h>

namespace crocuswood {

/// Spans of time for the links of a process.
struct link_intervals {
  duration Heartbeat{}; ///< Between messages on a link with work.
  duration Idle{};      ///< The same without work; 0 for no difference.
  duration Silence{};   ///< A link with work that is silent for longer is dead.

  friend bool operator==(const link_intervals &,
                         const link_intervals &) = default;
};

/// Whether a link has work on it. Only then is a quick failover worth frequent
/// messages.
class link_activity {
public:
  void note(bool HasWork, instant Now) {
    if (HasWork && !Busy) {
      BusySince = Now;
    }
    Busy = HasWork;
  }

  bool isBusy() const { return Busy; }

  /// \returns how long this side may be silent.
  duration getInterval(const link_intervals &Intervals) const;

  /// \returns when the link counts as dead if nothing is heard after
  /// \p HeardAt. A peer that was idle is given the whole limit from the moment
  /// that the link has work.
  instant getDeadline(const link_intervals &Intervals, instant HeardAt) const;

private:
  bool Busy = false;
  instant BusySince;
};

} // namespace crocuswood
