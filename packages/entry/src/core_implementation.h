/// \file
/// The decision core's parts put together.
#pragma once

#include "admission.h"
#include "claim_manager.h"
#include "configuration_keeper.h"
#include "dispatcher.h"
#include "entry_state.h"
#include "health.h"
#include "job_manager.h"
#include "link_manager.h"
#include "task_ends.h"
#include "waiting_check.h"

#include <crocuswood/entry.h>

#include <optional>

namespace crocuswood::entry {

/// Hands events to the parts and keeps the wake-up time.
class core::implementation {
public:
  explicit implementation(options Options);

  void handle(instant Now, event Event, std::vector<action> &Actions);
  void flush(instant Now, std::vector<action> &Actions);
  status getStatus() const;
  const configuration &getConfiguration() const { return State.Configuration; }
  std::vector<peer_address> getEntries() const { return State.Entries; }

private:
  void dispatchEvent(event &Event);
  void checkTimes();
  void checkCallers();
  void takeCallersChecked();
  void takeLag(duration Lag);
  /// Fails the jobs that are left when the time of a planned stop is over.
  void failLateJobs();
  bool hasEndedJobs() const;
  bool mayStop() const;
  void checkStop();
  void scheduleWake();
  void requestStop();
  void closeIntake();

  entry_state State;
  health Health;
  admission Admission;
  claim_manager Claims;
  job_manager Jobs;
  waiting_check Waiting;
  task_ends Ends;
  configuration_keeper Configurations;
  link_manager Links;
  dispatcher Dispatcher;
  instant NextCheck;
  std::optional<instant> WakeAt;     ///< As last asked for.
  std::optional<instant> IntakeEnds; ///< While draining.
  std::optional<instant> JobsEnd;    ///< While draining, if it is bounded.
  bool LateJobsFailed = false;
  bool StopReported = false;
  instant AwaySince; ///< When callers were last sent away or taken back.
  bool SteersAway = false;
};

} // namespace crocuswood::entry
