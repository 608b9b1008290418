#include "configuration_keeper.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuswood::entry {

bool configuration_keeper::offer(const configuration &Offered) {
  const auto Revision = static_cast<std::int64_t>(Offered.Revision);
  if (Offered.Revision <= State.Configuration.Revision) {
    if (Offered.Revision < State.Configuration.Revision) {
      State.Sink.record(
          {.Kind = event_kind::ConfigurationIgnored, .Value = Revision});
    }
    return false;
  }
  State.Configuration = Offered;
  State.Classes.update(Offered);
  State.Teams.update(Offered);
  State.Companions.refreshAllClasses(State.now());
  State.Sink.record(
      {.Kind = event_kind::ConfigurationInForce, .Value = Revision});
  State.Sink.push(configuration_adopted{.Configuration = Offered});
  return true;
}

void configuration_keeper::noteRevision(companion_index Companion,
                                        std::uint64_t Revision) {
  companion_record &Record = State.Companions[Companion];
  Record.ConfigurationRevision =
      std::max(Record.ConfigurationRevision, Revision);
}

void configuration_keeper::checkRevision(companion_index Companion) {
  companion_record &Record = State.Companions[Companion];
  if (!Record.Link ||
      Record.ConfigurationRevision >= State.Configuration.Revision) {
    Record.PushAt.reset();
    return;
  }
  if (!Record.PushAt) {
    Record.PushAt = State.now() +
                    duration(Generator.below(ConfigurationPushSpread.count()));
  }
  if (State.now() < *Record.PushAt) {
    return;
  }
  // A lost push is made good on the next hello.
  Record.PushAt.reset();
  Record.ConfigurationRevision = State.Configuration.Revision;
  State.Companions.openOutbox(Companion).add(
      configuration_push{.Configuration = State.Configuration});
}

void configuration_keeper::takeEntries(std::vector<peer_address> Entries) {
  const auto IsBefore = [](const peer_address &Left,
                           const peer_address &Right) {
    return std::tie(Left.Host, Left.Port) < std::tie(Right.Host, Right.Port);
  };
  std::sort(Entries.begin(), Entries.end(), IsBefore);
  if (Entries == State.Entries) {
    return;
  }
  State.Entries = std::move(Entries);
  std::uint64_t Sum = 0;
  for (const peer_address &Address : State.Entries) {
    Sum = digest(Address.Host + ":" + std::to_string(Address.Port) + ",", Sum);
  }
  EntriesDigest = Sum;
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    if (State.Companions[Index].Link) {
      State.Companions.openOutbox(Index).add(
          entry_list{.Entries = State.Entries});
    }
  }
}

} // namespace crocuswood::entry
