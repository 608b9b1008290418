/// \file
/// All processes of a run, and the inputs of its trace.
#pragma once

#include "clients.h"
#include "companion_process.h"
#include "entry_process.h"
#include "fake_endpoint.h"
#include "fake_store.h"
#include "network.h"
#include "trace_content.h"

#include <crocuswood/entry.h>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// Builds the fleet of a trace and steps it through the trace's inputs.
class fleet {
public:
  fleet(const trace_content &Trace, entry::policy_kind Policy);

  /// Runs the whole trace, and at last stops every process as planned.
  void run();

  const std::vector<submission> &getSubmissions() const {
    return Clients->getSubmissions();
  }
  const std::vector<task_run> &getRuns() const { return Runs; }
  std::vector<timeline_event> takeTimeline() {
    return std::move(World.Timeline);
  }
  std::uint64_t countWasted() const;
  /// \returns the smallest revision in force over all daemons when the inputs
  /// had ended.
  std::uint64_t getLeastRevision() const { return LeastRevision; }
  /// \returns processes that did not finish the stop at the end.
  std::uint64_t countUnstopped() const { return Unstopped; }

private:
  void addEntry(const entry_description &Description,
                entry::policy_kind Policy);
  void addCompanion(const companion_description &Description);
  void scheduleInputs();
  void noteRevisions();
  void stopEverything();
  process *find(const std::string &Name);
  template <class Kind>
  static Kind *findIn(const std::vector<std::unique_ptr<Kind>> &Processes,
                      const std::string &Name);
  void end(process &Process, bool Quiet);

  void apply(const kill_process &Fault);
  void apply(const start_process &Fault);
  void apply(const freeze_process &Fault);
  void apply(const thaw_process &Fault);
  void apply(const stop_process &Fault);
  void apply(const leave_endpoint &Fault);
  void apply(const link_fault &Fault);
  void apply(const store_fault &Fault);
  void apply(const endpoint_fault &Fault);
  void apply(const configure &Fault);
  void apply(const cancel_wave &Fault);

  const trace_content &Trace;
  world World;
  fake_store Store;
  network Network;
  std::vector<task_run> Runs;
  std::vector<std::unique_ptr<entry_process>> Entries;
  std::vector<std::unique_ptr<companion_process>> Companions;
  std::vector<std::unique_ptr<fake_endpoint>> Endpoints;
  std::unique_ptr<clients> Clients;
  std::uint64_t LeastRevision = 0;
  std::uint64_t Unstopped = 0;
};

} // namespace crocuswood::replay
