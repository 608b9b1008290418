/// \file
/// Notices that the process itself can't keep up.
#pragma once

#include <crocuswood/model.h>

#include <optional>

namespace crocuswood::entry {

/// Judges how late the process gets to its work. An entry that accepts more
/// than its processor can do is late with everything, stops and repeats runs
/// whose leases it failed to renew, and does not recover by itself. So it
/// refuses jobs at once while it is late, and if that lasts, it lets the
/// balancer send callers to other entries.
class overload_guard {
public:
  /// \p Lag is how late work that was due got its turn.
  void note(duration Lag, instant Now);

  /// \returns how late work got its turn at the last measurement.
  duration getLag() const { return Previous; }
  /// \returns whether new jobs are refused.
  bool refusesJobs() const { return Refuses; }
  /// \returns whether callers should go to other entries.
  bool sendsCallersAway() const { return SendsAway; }

private:
  duration Previous{};
  bool Refuses = false;
  bool SendsAway = false;
  std::optional<instant> LateSince;
  instant LateUntil;
};

} // namespace crocuswood::entry
