#include "entry_registry.h"

#include <algorithm>
#include <cstddef>

namespace crocuswood::companion {

namespace {

/// Tasks of one entry incarnation for which duplicates are detected.
constexpr std::size_t HistoryTasks = 65'536;
/// Gone incarnations whose tasks are remembered.
constexpr std::size_t MaxGonePeers = 16;

} // namespace

entry_peer *entry_registry::admit(const process_id &Id) {
  if (Forgotten.contains(Id.Incarnation)) {
    return nullptr;
  }
  if (entry_peer *Known = find(Id.Incarnation)) {
    return Known;
  }
  forgetOldestGone();
  const auto [Place, Added] = Peers.emplace(
      Id.Incarnation,
      entry_peer{.Id = Id, .History = task_history(HistoryTasks)});
  return &Place->second;
}

entry_peer *entry_registry::find(incarnation Entry) {
  const auto Place = Peers.find(Entry);
  return Place == Peers.end() ? nullptr : &Place->second;
}

void entry_registry::forgetOldestGone() {
  const auto IsGone = [](const auto &Item) { return Item.second.Gone; };
  const auto Gone = std::ranges::count_if(Peers, IsGone);
  if (Gone < static_cast<std::ptrdiff_t>(MaxGonePeers)) {
    return;
  }
  auto Oldest = Peers.end();
  for (auto Place = Peers.begin(); Place != Peers.end(); ++Place) {
    if (!Place->second.Gone) {
      continue;
    }
    if (Oldest == Peers.end() ||
        Place->second.LinklessSince < Oldest->second.LinklessSince) {
      Oldest = Place;
    }
  }
  Forgotten.insert(Oldest->first);
  Peers.erase(Oldest);
}

std::uint64_t entry_registry::countRetained() const {
  std::uint64_t Count = 0;
  for (const auto &[Id, Peer] : Peers) {
    Count += Peer.Ends.getSize();
  }
  return Count;
}

bool entry_registry::haveSeenLeaving() const {
  return std::ranges::all_of(Peers, [](const auto &Item) {
    const entry_peer &Peer = Item.second;
    return Peer.Gone || Peer.Stopping || (Peer.Link && Peer.LeavingSeen);
  });
}

std::uint64_t entry_registry::countRetainedBytes() const {
  std::uint64_t Bytes = 0;
  for (const auto &[Id, Peer] : Peers) {
    Bytes += Peer.Ends.getBytes();
  }
  return Bytes;
}

} // namespace crocuswood::companion
