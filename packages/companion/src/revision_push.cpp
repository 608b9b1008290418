#include "revision_push.h"

#include <algorithm>

namespace crocuswood::companion {

void revision_push::note(entry_peer &Peer, std::uint64_t Revision) {
  Peer.Revision = std::max(Peer.Revision, Revision);
}

void revision_push::check(const step &Step, entry_peer &Peer) {
  if (!Peer.Link || Peer.Revision >= Configuration.Revision ||
      Peer.PushedRevision >= Configuration.Revision) {
    Peer.PushAt.reset();
    return;
  }
  if (!Peer.PushAt) {
    Peer.PushAt = Step.Now + Generator.below(ConfigurationPushSpread);
  }
  if (Step.Now < *Peer.PushAt) {
    return;
  }
  Peer.PushAt.reset();
  Peer.PushedRevision = Configuration.Revision;
  Links.find(*Peer.Link)
      ->Unsent.emplace_back(configuration_push{.Configuration = Configuration});
}

} // namespace crocuswood::companion
