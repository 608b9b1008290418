/// \file
/// An entry of the fleet: the real core.
#pragma once

#include "network.h"

#include <crocuswood/entry.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::explorer {

/// How a submission ends: with an answer, or nothing for a broken connection.
using submission_end =
    std::function<void(const std::optional<job_answer> &Answer)>;

/// Carries out what the core decides, as the daemon does.
class entry_node : public linked_node {
public:
  entry_node(world &World, std::string Name, entry::options Options,
             configuration Configuration, std::vector<peer_address> Entries,
             network &Network);

  void requestStop() override;
  void linkOpened(link_id Link) override;
  void linkClosed(link_id Link) override;
  void received(link_id Link, std::vector<peer_message> Messages) override;

  /// Takes a job that arrives now.
  void submit(request_id Request, job_request Job, submission_end End);
  /// The caller of \p Request is gone, and the entry learns of it.
  void dropCaller(request_id Request);
  bool hasJobs() const { return isAlive() && !Requests.empty(); }

protected:
  void begin() override;
  void end() override;

private:
  void handle(entry::event Event);
  void apply(entry::action &Action);

  entry::options Options;
  configuration Configuration;
  std::vector<peer_address> Entries;
  network &Network;
  std::unique_ptr<entry::core> Core;
  std::map<request_id, submission_end> Requests;
};

} // namespace crocuswood::explorer
