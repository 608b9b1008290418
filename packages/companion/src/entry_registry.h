/// \file
/// Incarnations of entries that have placed tasks here.
#pragma once

#include "retained_ends.h"
#include "task_history.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <set>

namespace crocuswood::companion {

/// One incarnation of an entry.
struct entry_peer {
  process_id Id;
  peer_address Address;        ///< Where its latest link was dialled.
  std::optional<link_id> Link; ///< Its one link.
  link_id NewestLink{};        ///< Dialled last of those that carried a hello.
  instant LinklessSince;
  bool Gone = false;          ///< Without a link for too long, or replaced.
  std::uint64_t Revision = 0; ///< Of its configuration, last heard.
  std::uint64_t PushedRevision = 0; ///< Sent to it on the present link.
  std::optional<instant> PushAt;    ///< When a greater revision is sent to it.
  std::uint32_t Backlog = 0;        ///< Its waiting tasks, last heard.
  bool Stopping = false;            ///< It shuts down and places nothing new.
  bool LeavingSeen = false;         ///< Said on the present link.
  instant LeaseUntil;               ///< Its tasks may run and start until then.
  instant LeaseAskedAt;             ///< Out of turn, for tasks that wait.
  bool ResendEnds = false; ///< A new link has not carried the ends yet.
  task_history History;
  retained_ends Ends;
};

/// Keeps entries by incarnation, in bounded memory.
class entry_registry {
public:
  /// \returns the peer of \p Id, a new one if need be; null if its tasks have
  /// been forgotten, so that nothing can be said of them.
  entry_peer *admit(const process_id &Id);
  /// \returns null if no such incarnation is kept.
  entry_peer *find(incarnation Entry);
  std::map<incarnation, entry_peer> &getPeers() { return Peers; }
  const std::map<incarnation, entry_peer> &getPeers() const { return Peers; }
  std::uint64_t countRetained() const;
  /// \returns whether no entry can place a task any more, nor has one on its
  /// way: each has confirmed that the endpoint is leaving, or stops itself.
  bool haveSeenLeaving() const;
  std::uint64_t countRetainedBytes() const;

private:
  void forgetOldestGone();

  std::map<incarnation, entry_peer> Peers;
  std::set<incarnation> Forgotten;
};

} // namespace crocuswood::companion
