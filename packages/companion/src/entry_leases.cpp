#include "entry_leases.h"

#include <algorithm>

namespace crocuswood::companion {

void entry_leases::grant(const step &Step, entry_peer &Peer,
                         const lease_grant &Grant) const {
  const instant At{Grant.At};
  if (At > Step.Now) {
    // This process has not asked with that stamp, so it answers another life.
    return;
  }
  Peer.LeaseUntil = std::max(Peer.LeaseUntil, At + Options.EntryLease);
}

void entry_leases::check(
    const step &Step,
    const std::function<companion_heartbeat()> &MakeHeartbeat) {
  if (!hasLeases()) {
    return;
  }
  for (auto &[Id, Peer] : Entries.getPeers()) {
    if (Step.Now >= Peer.LeaseUntil) {
      Desk.endLease(Step, Peer);
      ask(Step, Peer, MakeHeartbeat);
    }
  }
}

// On a link that was idle the latest grant is older than a lease.
void entry_leases::ask(
    const step &Step, entry_peer &Peer,
    const std::function<companion_heartbeat()> &MakeHeartbeat) {
  link_state *Link = Peer.Link ? Links.find(*Peer.Link) : nullptr;
  if (Link == nullptr || !Desk.hasQueued(Peer.Id.Incarnation) ||
      Step.Now - Peer.LeaseAskedAt < Options.HeartbeatInterval) {
    return;
  }
  Peer.LeaseAskedAt = Step.Now;
  // Every envelope asks for a lease.
  Link->Unsent.emplace_back(MakeHeartbeat());
}

std::optional<instant> entry_leases::findNextWake(instant Now) const {
  std::optional<instant> Next;
  if (!hasLeases()) {
    return Next;
  }
  for (const auto &[Id, Peer] : Entries.getPeers()) {
    if (const auto At = Desk.getLeaseWake(Peer, Now)) {
      Next = Next ? std::min(*Next, *At) : *At;
    }
  }
  return Next;
}

} // namespace crocuswood::companion
