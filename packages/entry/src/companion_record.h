/// \file
/// What an entry knows of one companion.
#pragma once

#include "job.h"
#include "outbox.h"

#include <crocuswood/interference.h>
#include <crocuswood/model.h>

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

namespace crocuswood::entry {

/// A placement that has not shown in a load yet.
struct unseen_placement {
  instant PlacedAt;
  std::uint32_t Room = 0;
};

/// An endpoint that has crashed is back after some seconds, or not at all.
constexpr duration EndpointReturnTime = std::chrono::seconds(15);

/// A companion from its first hello until it is lost.
struct companion_record {
  process_id Id;
  std::string Zone;
  peer_address Operators;
  endpoint_report Endpoint;
  companion_load Load; ///< As last heard.
  std::uint64_t ConfigurationRevision = 0;
  std::optional<instant> PushAt; ///< When a greater revision is sent to it.
  std::uint32_t Entries = 0;     ///< Live entries, as last heard.

  std::optional<link_id> Link;
  instant LinkLostAt; ///< While there is no link.
  instant HeardAt;
  instant SentAt;
  link_activity Activity;

  std::vector<task_ref> Outstanding; ///< Tasks of this entry on it.
  /// Classes of the outstanding tasks, and of all tasks there if the companion
  /// tells them. Kept with interference only.
  interference::presence Beside;
  std::vector<interference::presence::mark> Marks; ///< As Outstanding.
  /// Placements that the last load heard can't have counted.
  std::deque<unseen_placement> Unseen;
  std::uint32_t Suspects = 0;        ///< Outstanding tasks that are suspects.
  std::uint64_t OutstandingRoom = 0; ///< Of the outstanding tasks.
  std::uint64_t UnseenRoom = 0;      ///< Of the unseen placements.
  double Others = 0; ///< Slots or cores of other entries in the last load.
  instant OthersAt;  ///< When that load was heard.
  double CountedOthers = 0; ///< Part in the sums over all companions.
  double CountedSlots = 0;
  duration RoundTrip{}; ///< From a placement to its effect on a load.
  std::uint64_t UsedMemoryBytes = 0; ///< By the outstanding tasks.
  std::uint32_t UsedAccelerators = 0;

  /// Run times here against those of the class everywhere; 1 is the mean.
  double Slowness = 1;
  instant SlownessAt; ///< When it was last learned.

  duration ColdLeft{}; ///< As last reported.
  duration ColdFrom{}; ///< The same at the beginning of the cold time.
  instant ColdAt;      ///< When ColdLeft was reported.

  instant ServedAt; ///< When it was last known to serve, after it has stopped.
  bool SetAside = false;
  std::optional<std::uint32_t> Allowed; ///< Most outstanding tasks while it is
                                        ///< not trusted in full.
  std::vector<class_index> Barred;      ///< Classes that it must not get now.
  std::vector<class_index> Runnable;    ///< Classes that it can run, sorted.
  std::vector<class_index> Offered;     ///< Runnable and not barred.
  double OfferedSlots = 0;              ///< Its part in the sums by class.
  duration LeaseStamp{};                ///< Of the latest lease request.
  bool LeaseAsked = false;              ///< The request has not been answered.
  instant GrantedAt;                    ///< When a lease was last granted.
  bool ReportUnused = false; ///< A load report led to no placement yet.

  outbox Outbox;
  bool Dirty = false;               ///< In the list of companions to flush.
  bool InUse = false;               ///< False for a free place of the table.
  std::vector<process_id> Replaced; ///< Earlier incarnations, refused.
};

} // namespace crocuswood::entry
