#include <crocuswood/evacuation.h>

#include <algorithm>
#include <utility>

namespace crocuswood::evacuation {

namespace {

// Zones that describe() names; log lines stay short.
constexpr std::size_t MaxNamed = 8;
constexpr unsigned char FirstPrintable = 0x20;

} // namespace

verdict merge(state &Held, state Told) {
  const bool IsSame = Told.Zones == Held.Zones;
  if (Told.Version > Held.Version) {
    Held = std::move(Told);
    return IsSame ? verdict::Unchanged : verdict::Changed;
  }
  return IsSame || Told.Version == Held.Version ? verdict::Unchanged
                                                : verdict::Outdated;
}

bool isZoneName(std::string_view Name) {
  return !Name.empty() && Name.size() <= MaxZoneNameBytes &&
         std::none_of(Name.begin(), Name.end(), [](char Each) {
           return static_cast<unsigned char>(Each) < FirstPrintable;
         });
}

bool addZone(state &State, const std::string &Zone, std::uint64_t RowVersion) {
  if (!isZoneName(Zone) ||
      (State.Zones.size() >= MaxZones && !State.Zones.contains(Zone))) {
    return false;
  }
  State.Zones[Zone] = RowVersion;
  return true;
}

evacuation_update toMessage(const state &State) {
  evacuation_update Message{.Version = State.Version};
  Message.Zones.reserve(State.Zones.size());
  for (const auto &[Zone, RowVersion] : State.Zones) {
    Message.Zones.push_back({.Zone = Zone, .RowVersion = RowVersion});
  }
  return Message;
}

state fromMessage(const evacuation_update &Message) {
  state State{.Version = Message.Version};
  for (const evacuated_zone &Each : Message.Zones) {
    addZone(State, Each.Zone, Each.RowVersion);
  }
  return State;
}

std::string describe(const state &State) {
  std::string Text =
      State.Zones.empty() ? "no zone is evacuated" : "evacuated:";
  std::size_t Named = 0;
  for (const auto &[Zone, RowVersion] : State.Zones) {
    if (Named == MaxNamed) {
      Text += ", and " + std::to_string(State.Zones.size() - Named) + " more";
      break;
    }
    Text += std::string(Named++ == 0 ? " " : ", ") + Zone + " (row " +
            std::to_string(RowVersion) + ")";
  }
  return Text + "; store version " + std::to_string(State.Version);
}

} // namespace crocuswood::evacuation
