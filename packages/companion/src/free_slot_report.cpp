#include "free_slot_report.h"

#include <algorithm>

namespace crocuswood::companion {

void free_slot_report::report(incarnation Ended) {
  const companion_load Load = Desk.refreshLoad();
  if (!Desk.hasFreeSlot() || Load.Queued != 0) {
    return;
  }
  auto &Peers = Entries.getPeers();
  const auto Wants = [Ended](const auto &Item) {
    return Item.second.Backlog > 0 && Item.second.Link && Item.first != Ended;
  };
  const auto EndedPeer = Peers.find(Ended);
  if (EndedPeer != Peers.end() && EndedPeer->second.Backlog > 0) {
    // The end itself tells this entry of the free slot.
    return;
  }
  auto Next = std::find_if(Peers.upper_bound(LastReported), Peers.end(), Wants);
  if (Next == Peers.end()) {
    Next = std::find_if(Peers.begin(), Peers.end(), Wants);
  }
  if (Next == Peers.end()) {
    return;
  }
  LastReported = Next->first;
  // A placement in reply tells of a backlog that goes on.
  Next->second.Backlog = 0;
  Links.find(*Next->second.Link)
      ->Unsent.emplace_back(load_report{.Load = Load});
}

} // namespace crocuswood::companion
