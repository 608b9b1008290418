/// \file
/// The endpoint beside this companion, as it announces itself.
#pragma once

#include "step.h"

#include <crocuswood/companion.h>

#include <optional>
#include <string>

namespace crocuswood::companion {

/// Follows the endpoint's announcements.
class endpoint_monitor {
public:
  explicit endpoint_monitor(duration AnnouncementLimit)
      : AnnouncementLimit(AnnouncementLimit) {}

  /// \returns whether the report for entries has changed.
  bool announce(const step &Step, const endpoint_announcement &Announcement);
  /// Treats an endpoint that has been silent for too long as absent. \returns
  /// whether the report has changed.
  bool checkSilence(const step &Step);
  /// Treats the endpoint as absent until it announces itself again. \returns
  /// whether the report has changed.
  bool suspend(const step &Step, const std::string &Reason);
  /// From now on the endpoint is reported as leaving. \returns whether the
  /// report has changed.
  bool leave();

  /// While \p Now is set the endpoint is reported as leaving, and as what it
  /// announces after that. \returns whether the report has changed.
  bool setEvacuated(bool Now);

  /// \returns what entries are told.
  endpoint_report getReport() const;
  const std::string &getName() const { return Name; }
  /// \returns the announced life, empty if it is not known.
  const std::string &getLife() const { return Life; }
  const peer_address &getAddress() const { return Address; }
  /// \returns when an endpoint that stays silent counts as absent.
  std::optional<instant> getNextWake() const;

private:
  duration AnnouncementLimit;
  std::string Name;
  std::string Life;
  peer_address Address;
  endpoint_report Offer;
  bool Stopping = false;
  bool Evacuated = false; ///< Its availability zone is.
  instant LastHeard;
};

} // namespace crocuswood::companion
