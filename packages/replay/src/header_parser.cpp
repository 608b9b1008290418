#include "header_parser.h"

#include <crocuswood/config.h>

#include <algorithm>
#include <utility>

namespace crocuswood::replay {

namespace {

const std::vector<std::string> SettingNames = {
    "heartbeat_interval", "silence_limit", "loss_limit", "claim_limit",
    "announcement_limit"};

std::string chooseZone(const std::vector<std::string> &Zones,
                       std::size_t Number) {
  return Zones.empty() ? "" : Zones[Number % Zones.size()];
}

// A group stands for `count` processes, numbered on from those before.
std::vector<entry_description> parseEntries(object_reader &Fleet) {
  std::vector<entry_description> Entries;
  for (object_reader &Group : Fleet.readObjects("entries")) {
    const std::uint64_t Count = Group.readCount("count", 1);
    const auto Zones = Group.readTexts("zones");
    const bool Started = Group.readFlag("started", true);
    for (std::uint64_t Index = 0; Index < Count; ++Index) {
      Entries.push_back({.Name = "entry-" + std::to_string(Entries.size() + 1),
                         .Zone = chooseZone(Zones, Index),
                         .Started = Started});
    }
    Group.finish();
  }
  return Entries;
}

std::vector<companion_description> parseCompanions(object_reader &Fleet) {
  std::vector<companion_description> Companions;
  for (object_reader &Group : Fleet.readObjects("companions")) {
    const std::uint64_t Count = Group.readCount("count", 1);
    const auto Zones = Group.readTexts("zones");
    const bool Started = Group.readFlag("started", true);
    const endpoint_report Offer{
        .State = endpoint_state::Serving,
        .Classes = Group.readTexts("classes"),
        .Slots = static_cast<std::uint32_t>(Group.readCount("slots", 1)),
        .MemoryBytes = Group.readCount("memory_bytes", 0),
        .Accelerators =
            static_cast<std::uint32_t>(Group.readCount("accelerators", 0))};
    for (std::uint64_t Index = 0; Index < Count; ++Index) {
      const std::string Number = std::to_string(Companions.size() + 1);
      Companions.push_back({.Name = "companion-" + Number,
                            .Endpoint = "runner-" + Number,
                            .Zone = chooseZone(Zones, Index),
                            .Offer = Offer,
                            .Started = Started});
    }
    Group.finish();
  }
  return Companions;
}

void parseFleet(object_reader &Reader, trace_header &Header) {
  auto Fleet = Reader.findObject("fleet");
  if (!Fleet) {
    Reader.fault("fleet", "is missing");
    return;
  }
  Header.Entries = parseEntries(*Fleet);
  Header.Companions = parseCompanions(*Fleet);
  Fleet->finish();
}

void parseLatencies(object_reader &Reader, latencies &Latencies) {
  auto Object = Reader.findObject("latency");
  if (!Object) {
    return;
  }
  Latencies.WithinZone = Object->readSpan("within_zone", Latencies.WithinZone);
  Latencies.BetweenZones =
      Object->readSpan("between_zones", Latencies.BetweenZones);
  Latencies.Client = Object->readSpan("client", Latencies.Client);
  Latencies.Store = Object->readSpan("store", Latencies.Store);
  Object->finish();
}

void parseSettings(object_reader &Reader, trace_header &Header) {
  auto Object = Reader.findObject("settings");
  if (!Object) {
    return;
  }
  for (const std::string &Name : SettingNames) {
    if (const auto Span = Object->findSpan(Name)) {
      Header.Settings[Name] = *Span;
    }
  }
  Object->finish();
}

void parseConfiguration(object_reader &Reader, trace_header &Header,
                        fault_list &Faults) {
  const nlohmann::json *Document = Reader.find("configuration");
  if (Document == nullptr) {
    Reader.fault("configuration", "is missing");
    return;
  }
  auto Parsed = config::parseConfiguration(Document->dump(), Faults.Source);
  if (auto *Found = std::get_if<findings>(&Parsed)) {
    for (finding &Each : *Found) {
      Reader.fault("configuration", toString(Each));
    }
    return;
  }
  Header.Configuration = std::get<configuration>(std::move(Parsed));
}

} // namespace

trace_header parseHeader(object_reader &Reader, fault_list &Faults) {
  trace_header Header;
  Header.Name = Reader.requireText("trace");
  Header.Seed = Reader.readCount("seed", 1);
  parseFleet(Reader, Header);
  parseLatencies(Reader, Header.Latencies);
  parseSettings(Reader, Header);
  parseConfiguration(Reader, Header, Faults);
  Header.ClockSkew = Reader.readSpan("clock_skew", {});
  Header.Resubmissions =
      static_cast<std::uint32_t>(Reader.readCount("resubmissions", 0));
  Header.StoreHolds = Reader.readFlag("store_holds_configuration", true);
  Reader.finish();
  return Header;
}

} // namespace crocuswood::replay
