/// \file
/// Links to companions: hello, heartbeats, silence, resume and loss.
#pragma once

#include "configuration_keeper.h"
#include "entry_state.h"
#include "health.h"
#include "task_ends.h"

#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswood::entry {

/// Follows every link from its opening to its end. Tasks stay outstanding on a
/// companion without a link until it resumes, is replaced, or is lost.
class link_manager {
public:
  link_manager(entry_state &State, task_ends &Ends,
               configuration_keeper &Configurations, health &Health);

  void open(link_id Link);
  void receive(link_id Link, std::vector<peer_message> Messages);
  void close(link_id Link, const std::string &Reason);
  /// Sends heartbeats, closes silent links and gives up lost companions.
  void checkTimes();
  /// Tells every companion at once that this entry is stopping, or which
  /// configuration it has now.
  void announce();
  /// Writes what was gathered for the companions.
  void flush();

private:
  void receiveFirst(link_id Link, std::vector<peer_message> &Messages);
  void takeHello(link_id Link, const companion_hello &Hello);
  companion_index enrol(link_id Link, const companion_hello &Hello);
  void replace(companion_index Companion, const process_id &Next);
  void greet(companion_index Companion);
  void resume(companion_index Companion);
  void dispatch(companion_index Companion, peer_message &Message);
  void takeLoad(companion_index Companion, const companion_load &Load);
  void refuseLink(link_id Link, const std::string &Reason);
  void dropLink(companion_index Companion, const std::string &Reason);
  void closePendingLinks();
  void checkCompanion(companion_index Companion);
  void sendHeartbeat(companion_index Companion);
  void write(companion_index Companion);
  void recordPlacements(companion_index Companion);

  entry_state &State;
  task_ends &Ends;
  configuration_keeper &Configurations;
  health &Health;
  link_intervals Intervals;
  /// Links without a hello yet, and when they were opened.
  std::unordered_map<std::uint64_t, instant> Pending;
};

} // namespace crocuswood::entry
