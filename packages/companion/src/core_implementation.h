/// \file
/// What is behind companion::core: takes events and gathers what is to be sent.
#pragma once

#include "crash_ledger.h"
#include "endpoint_monitor.h"
#include "entry_leases.h"
#include "entry_links.h"
#include "entry_registry.h"
#include "free_slot_report.h"
#include "revision_push.h"
#include "step.h"
#include "task_desk.h"

#include <crocuswood/companion.h>

#include <optional>
#include <string>
#include <utility>

namespace crocuswood::companion {

/// Joins links, entries, endpoint and tasks; one on() for each event.
class core::implementation {
public:
  explicit implementation(options Options)
      : Options(std::move(Options)), Links(this->Options),
        Endpoint(this->Options.AnnouncementLimit),
        Desk(this->Options, Configuration, Entries, Links, Endpoint),
        Leases(this->Options, Entries, Links, Desk),
        FreeSlots(Entries, Links, Desk),
        Revisions(Configuration, Links, this->Options.Seed) {}

  void on(const step &Step, const link_opened &Event);
  void on(const step &Step, envelope_received &Event);
  void on(const step &Step, const link_closed &Event);
  void on(const step &Step, const entries_read &Event);
  void on(const step &Step, const bootstrap_changed &Event);
  void on(const step &Step, configuration_read &Event);
  void on(const step &Step, const endpoint_announced &Event);
  void on(const step &Step, run_completed &Event);
  void on(const step &Step, run_failed &Event);
  void on(const step &Step, const run_not_reached &Event);
  void on(const step &Step, run_lost &Event);
  void on(const step &Step, run_stopped &Event);
  void on(const step &Step, run_refused &Event);
  void on(const step &Step, const endpoint_settled &Event);
  void on(const step &Step, const endpoint_silent &Event);
  void on(const step &Step, endpoint_crashed &Event);
  void on(const step &Step, const endpoint_restarted &Event);
  void on(const step &Step, const announcement_ignored &Event);
  void on(const step &Step, const lease_withheld &Event);
  void on(const step &Step, const unknown_runs &Event);
  void on(const step &Step, const timer_expired &Event);
  void on(const step &Step, const stop_requested &Event);
  void finishEvent(const step &Step);
  void flush(const step &Step);
  status getStatus() const;
  const configuration &getConfiguration() const { return Configuration; }

private:
  void receive(const step &Step, link_state &Link, peer_message &Message);
  void receiveHello(const step &Step, link_state &Link,
                    const entry_hello &Hello);
  void take(const step &Step, entry_peer &Peer, peer_message &Message);
  void attach(const step &Step, link_state &Link, entry_peer &Peer);
  void detach(const step &Step, const link_state &Link,
              const std::string &Reason);
  void replaceNamesake(const step &Step, const process_id &Id);
  void dropEntry(const step &Step, entry_peer &Peer);
  void adopt(const step &Step, configuration Value);
  void receiveEvacuation(const step &Step, const entry_peer &Peer,
                         const evacuation_update &Update);
  void noteDrained(const step &Step);
  void tellPools(const step &Step);
  void reportEndpoint(const step &Step, not_started_reason Reason);
  void closeSilentLinks(const step &Step);
  void dropLostEntries(const step &Step);
  void addHeartbeats(const step &Step);
  /// Tells the links which of them have work.
  void noteActivity(const step &Step);
  companion_heartbeat makeHeartbeat();
  bool isFinished(instant Now) const;
  std::optional<instant> findNextWake(instant Now) const;

  const options Options;
  configuration Configuration;
  std::set<std::string> Pools; ///< Of the classes in force.
  evacuation::state Evacuation;
  /// When the own zone was evacuated, until the last task has ended.
  std::optional<instant> DrainsSince;
  entry_links Links;
  entry_registry Entries;
  endpoint_monitor Endpoint;
  task_desk Desk;
  crash_ledger Crashes;
  entry_leases Leases;
  free_slot_report FreeSlots;
  revision_push Revisions;
  std::optional<instant> Wake;
  bool EndpointSettled = false;
  bool Stopping = false;
  bool StopFinished = false;
  instant LastRunEnd; ///< While stopping: when the last task ended.
};

} // namespace crocuswood::companion
