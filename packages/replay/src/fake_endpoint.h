/// \file
/// Stands in for an endpoint.
#pragma once

#include "process.h"
#include "trace_content.h"

#include <crocuswood/companion.h>
#include <crocuswood/ports.h>

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// \returns the input of a task that truly takes \p RunTime. \p Label tells
/// requests apart.
payload makeInput(duration RunTime, const std::string &Label);
/// \returns what an endpoint makes of \p Input.
payload makeOutput(const payload &Input);

/// A run of a task on an endpoint.
struct task_run {
  task_id Task;
  instant From;
  instant Until;
};

/// Announces itself and runs what it is asked to.
class fake_endpoint : public process, public endpoint_port {
public:
  using announce =
      std::function<void(const companion::endpoint_announcement &)>;

  fake_endpoint(world &World, const companion_description &Description,
                announce Announce, std::vector<task_run> &Runs);

  void run(const peer_address &Address, endpoint_call Call,
           std::function<void(endpoint_outcome)> Done) override;
  void stop(const peer_address &Address, const task_id &Task) override;
  void leave();
  void apply(const endpoint_fault &Fault) { Present = Fault; }

protected:
  void begin() override;
  void end() override;

private:
  void announceAgain();
  void begin(const endpoint_call &Call);
  void finish(const task_id &Task, endpoint_outcome Outcome);

  companion::endpoint_announcement Announcement;
  announce Announce;
  std::vector<task_run> &Runs;
  endpoint_fault Present;
  std::map<task_id, std::function<void(endpoint_outcome)>> Running;
};

} // namespace crocuswood::replay
