#include "map_reader.h"

#include <crocuswood/settings.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace crocuswood::settings {

namespace {

using std::chrono::hours;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr bounds<duration> HeartbeatBounds = {milliseconds(10), minutes(1)};
constexpr bounds<duration> SilenceBounds = {milliseconds(50), minutes(10)};
constexpr bounds<duration> PlatformPollBounds = {milliseconds(100), minutes(1)};
constexpr bounds<duration> LeaseBounds = {milliseconds(0), minutes(1)};
constexpr bounds<duration> KillTimeBounds = {milliseconds(0),
                                             milliseconds(250)};
constexpr bounds<duration> StopDelayBounds = {milliseconds(0), minutes(10)};
constexpr bounds<duration> StopLimitBounds = {milliseconds(0), minutes(60)};
constexpr bounds<duration> IdleBounds = {seconds(1), hours(1)};
constexpr bounds<duration> EndpointTimeBounds = {seconds(1), hours(24)};
constexpr bounds<std::uint32_t> TimelineEventsBounds = {1'000, 10'000'000};
constexpr bounds<std::uint32_t> OutstandingTasksBounds = {1, 10'000'000};
constexpr bounds<std::uint32_t> ConnectionsBounds = {1, 65'535};
constexpr bounds<std::uint32_t> BodyBytesBounds = {1'024, 1'073'741'824};
constexpr bounds<std::uint32_t> ClientMemoryBounds = {16'777'216,
                                                      3'221'225'472};
constexpr bounds<std::uint32_t> MachineMemoryBounds = {1, 16'777'216};
constexpr bounds<std::uint32_t> QueuedTasksBounds = {1, 1'000'000};

// A link must be able to miss one heartbeat without counting as silent.
constexpr int LeastHeartbeatsInSilence = 2;

void readIntervals(map_reader Reader, process_settings &Target) {
  Reader.readDuration("heartbeat", Target.HeartbeatInterval, HeartbeatBounds);
  Target.IdleHeartbeatInterval = Target.HeartbeatInterval;
  Reader.readDuration("idle_heartbeat", Target.IdleHeartbeatInterval,
                      HeartbeatBounds);
  Reader.readDuration("silence", Target.SilenceLimit, SilenceBounds);
  Reader.readDuration("platform_poll", Target.PlatformPollInterval,
                      PlatformPollBounds);
  if (Target.SilenceLimit <
      LeastHeartbeatsInSilence * Target.HeartbeatInterval) {
    Reader.addFault("silence", "This must be at least twice the heartbeat.");
  }
  if (Target.IdleHeartbeatInterval < Target.HeartbeatInterval) {
    Reader.addFault("idle_heartbeat",
                    "This must not be shorter than the heartbeat.");
  }
  Reader.finish();
}

void readLease(map_reader Reader, lease_settings &Target) {
  Reader.readDuration("entry", Target.Entry, LeaseBounds);
  Reader.readDuration("endpoint", Target.Endpoint, LeaseBounds);
  Reader.finish();
}

void readInterface(map_reader &Reader, interface_kind &Target) {
  std::string Name = "own";
  Reader.readChoice("interface", Name, {"own", "site"});
  Target = Name == "site" ? interface_kind::Site : interface_kind::Own;
}

void readThreads(map_reader &Reader, bool &SharesThread) {
  std::string Name = SharesThread ? "one" : "each";
  Reader.readChoice("threads", Name, {"each", "one"});
  SharesThread = Name == "one";
}

void readSwitch(map_reader &Reader, const char *Key, bool &Target) {
  std::string Name = Target ? "on" : "off";
  Reader.readChoice(Key, Name, {"on", "off"});
  Target = Name == "on";
}

void readProcess(map_reader &Reader, process_settings &Target) {
  Reader.readName("name", Target.Name, presence::Required);
  Reader.readName("zone", Target.Zone, presence::Required);
  Reader.readAddress("operators", Target.Operators, presence::Required);
  Reader.readAddress("platform", Target.Platform, presence::Required, true);
  map_reader Log = Reader.readMap("log");
  Log.readChoice("level", Target.Log.Level,
                 {"trace", "debug", "info", "warn", "error"});
  Log.readChoice("form", Target.Log.Form, {"text", "json"});
  Log.finish();
  map_reader Timeline = Reader.readMap("timeline");
  Timeline.readNumber("events", Target.TimelineEvents, TimelineEventsBounds);
  Timeline.readText("file", Target.TimelineFile, presence::Optional);
  Timeline.finish();
  readIntervals(Reader.readMap("intervals"), Target);
  readLease(Reader.readMap("lease"), Target.Lease);
  readInterface(Reader, Target.Interface);
  readThreads(Reader, Target.SharesThread);
}

void readEvacuation(map_reader &Reader, entry_settings &Target) {
  std::string Name = "off";
  Reader.readChoice("evacuation", Name, {"on", "off"});
  Target.Evacuation = Name == "on";
  if (Target.Evacuation && Target.Process.Interface != interface_kind::Site) {
    Reader.addFault("evacuation", "This needs `interface: site`, whose store "
                                  "has the operators' rows.");
  }
}

bool isAnyAddress(const peer_address &Address) {
  return Address.Host == "0.0.0.0" || Address.Host == "::";
}

void readAdvertise(map_reader &Reader, entry_settings &Target) {
  if (!Reader.readAddress("advertise", Target.Advertise, presence::Optional)) {
    Target.Advertise = Target.Links;
  }
  if (isAnyAddress(Target.Advertise)) {
    Reader.addFault("advertise", "Companions can't connect to this address; "
                                 "state one that they reach.");
  }
}

void readMemory(map_reader &Limits, process_settings &Target) {
  Limits.readByteSize("memory", Target.ClientMemoryBytes, ClientMemoryBounds);
  Limits.readNumber("machine_memory_mb", Target.MachineMemoryMegabytes,
                    MachineMemoryBounds);
}

entry_settings readEntry(map_reader &Reader) {
  entry_settings Target;
  readProcess(Reader, Target.Process);
  Reader.readAddress("callers", Target.Callers, presence::Required);
  Reader.readAddress("links", Target.Links, presence::Required);
  readAdvertise(Reader, Target);
  map_reader Limits = Reader.readMap("limits");
  Limits.readNumber("outstanding_tasks", Target.MaxOutstandingTasks,
                    OutstandingTasksBounds);
  Limits.readNumber("connections", Target.MaxConnections, ConnectionsBounds);
  Limits.readByteSize("body_bytes", Target.MaxBodyBytes, BodyBytesBounds);
  Limits.readDuration("idle", Target.IdleLimit, IdleBounds);
  Limits.readDuration("stop_delay", Target.StopDelay, StopDelayBounds);
  Limits.readDuration("stop_limit", Target.StopLimit, StopLimitBounds);
  readMemory(Limits, Target.Process);
  const std::uint64_t Memory = Target.Process.ClientMemoryBytes;
  if (Memory != 0 && Memory < Target.getLeastClientMemory()) {
    Limits.addFault("memory", "This must be at least three times body_bytes.");
  }
  Limits.finish();
  map_reader Placement = Reader.readMap("placement");
  readSwitch(Placement, "speed", Target.FollowsSpeed);
  readSwitch(Placement, "interference", Target.AvoidsInterference);
  readSwitch(Placement, "slow_start", Target.SlowStart);
  Placement.finish();
  map_reader Admission = Reader.readMap("admission");
  std::string Overload = "lasting";
  Admission.readChoice("overload", Overload, {"lasting", "prompt"});
  Target.JudgesPromptly = Overload == "prompt";
  readSwitch(Admission, "fair", Target.SharesFairly);
  readSwitch(Admission, "spread_returns", Target.SpreadsReturns);
  Admission.finish();
  readEvacuation(Reader, Target);
  return Target;
}

// An address, or a map with the address and how orders are followed.
void readOrders(map_reader &Reader, companion_settings &Target) {
  const presence Presence = Target.Process.Interface == interface_kind::Site
                                ? presence::Required
                                : presence::Optional;
  if (!Reader.hasMap("orders")) {
    Reader.readAddress("orders", Target.Orders, Presence, true);
    return;
  }
  map_reader Orders = Reader.readMap("orders");
  Orders.readAddress("address", Target.Orders, Presence, true);
  std::string Doubt = "fixed";
  Orders.readChoice("doubt", Doubt, {"fixed", "adaptive"});
  Target.AdaptsDoubt = Doubt == "adaptive";
  Orders.readDuration("kill_time", Target.KillTime, KillTimeBounds);
  Orders.finish();
}

companion_settings readCompanion(map_reader &Reader) {
  companion_settings Target;
  readProcess(Reader, Target.Process);
  Reader.readAddress("announcements", Target.Announcements, presence::Required);
  const bool HasEntries = Reader.readAddresses("entries", Target.Entries);
  Reader.readAddress("balancer", Target.Balancer,
                     HasEntries ? presence::Optional : presence::Required,
                     true);
  readOrders(Reader, Target);
  map_reader Placement = Reader.readMap("placement");
  readSwitch(Placement, "interference", Target.ReportsClassRooms);
  Placement.finish();
  map_reader Limits = Reader.readMap("limits");
  Limits.readNumber("queued_tasks", Target.MaxQueuedTasks, QueuedTasksBounds);
  Limits.readDuration("endpoint_time", Target.EndpointTimeLimit,
                      EndpointTimeBounds);
  readMemory(Limits, Target.Process);
  Limits.finish();
  return Target;
}

checked<YAML::Node> load(std::string_view Text, const std::string &Source) {
  try {
    const std::vector<YAML::Node> Documents = YAML::LoadAll(std::string(Text));
    if (Documents.size() == 1 && Documents.front().IsMap()) {
      return Documents.front();
    }
  } catch (const YAML::Exception &Error) {
    return findings{
        {.Source = Source,
         .Line = static_cast<std::uint32_t>(Error.mark.line + 1),
         .Column = static_cast<std::uint32_t>(Error.mark.column + 1),
         .Message = "This is not valid YAML: " + Error.msg + "."}};
  }
  return findings{{.Source = Source,
                   .Line = 1,
                   .Column = 1,
                   .Message = "One document with a map is expected."}};
}

template <class Settings>
checked<Settings> parse(std::string_view Text, const std::string &Source,
                        Settings (*Read)(map_reader &)) {
  auto Loaded = load(Text, Source);
  if (auto *Faults = std::get_if<findings>(&Loaded)) {
    return std::move(*Faults);
  }
  findings Faults;
  map_reader Reader(std::get<YAML::Node>(Loaded), "", Source, Faults);
  Settings Value = Read(Reader);
  Reader.finish();
  if (Faults.empty()) {
    return Value;
  }
  std::stable_sort(Faults.begin(), Faults.end(),
                   [](const finding &Left, const finding &Right) {
                     return std::tie(Left.Line, Left.Column) <
                            std::tie(Right.Line, Right.Column);
                   });
  return Faults;
}

} // namespace

checked<entry_settings> parseEntry(std::string_view Text,
                                   const std::string &Source) {
  return parse<entry_settings>(Text, Source, readEntry);
}

checked<companion_settings> parseCompanion(std::string_view Text,
                                           const std::string &Source) {
  return parse<companion_settings>(Text, Source, readCompanion);
}

} // namespace crocuswood::settings
