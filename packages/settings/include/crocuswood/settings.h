/// \file
/// Public header of the package settings: the YAML settings of one process.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::settings {

/// How a process writes its log.
struct log_settings {
  std::string Level = "info"; ///< trace, debug, info, warn or error.
  std::string Form = "text";  ///< text or json.
};

/// Whose interfaces callers, endpoints and the platform speak.
enum class interface_kind : std::uint8_t {
  Own,  ///< Those that the documentation of this system describes.
  Site, ///< Those of the sites' platform, by its adapter.
};

/// Leases by which work ends that nobody vouches for any more.
struct lease_settings {
  /// How long a companion runs an entry's tasks after the entry last vouched
  /// for them. 0 turns leases off.
  duration Entry{};
  /// How long a leased endpoint runs tasks after its companion's last renewal.
  duration Endpoint = std::chrono::milliseconds(500);
};

/// Settings that both roles have.
struct process_settings {
  std::string Name;       ///< Of this process; unique in the system.
  std::string Zone;       ///< Availability zone.
  peer_address Operators; ///< Where the operators' port listens.
  peer_address Platform;  ///< The platform's table service and object store.
  log_settings Log;
  std::uint32_t TimelineEvents = 65'536; ///< Events kept in memory.
  std::string TimelineFile;              ///< JSON lines; empty: not written.
  duration PlatformPollInterval = std::chrono::seconds(2);
  duration HeartbeatInterval = std::chrono::milliseconds(500);
  /// Of links without work. The same as HeartbeatInterval unless set.
  duration IdleHeartbeatInterval = std::chrono::milliseconds(500);
  duration SilenceLimit = std::chrono::seconds(2);
  interface_kind Interface = interface_kind::Own;
  lease_settings Lease;
  /// All duties share one thread. Saves the system calls that hand work over
  /// between threads, which count on a VM with a part of a core.
  bool SharesThread = false;
  /// Bytes that the peers of all servers may hold together; 0 for a share of
  /// the machine's memory.
  std::uint32_t ClientMemoryBytes = 0;
  /// Memory of the machine; 0 for what the system reports.
  std::uint32_t MachineMemoryMegabytes = 0;
};

struct entry_settings {
  process_settings Process;
  peer_address Callers;   ///< Where callers connect.
  peer_address Links;     ///< Where companions connect.
  peer_address Advertise; ///< The address of `Links` as companions see it.
  std::uint32_t MaxOutstandingTasks = 200'000;
  std::uint32_t MaxConnections = 1'024;
  std::uint32_t MaxBodyBytes = 8U * 1024 * 1024;
  duration IdleLimit = std::chrono::seconds(60);
  bool JudgesPromptly = false; ///< Admission is strict at once in an overload.
  bool SharesFairly = false;   ///< Organisations share alike in an overload.
  bool SpreadsReturns = false; ///< Refused callers return one after the other.
  bool FollowsSpeed = false;   ///< Placement follows the speed of endpoints.
  /// Placement keeps classes apart that slow each other down.
  bool AvoidsInterference = false;
  bool SlowStart = false; ///< Cold endpoints are offered a growing share.
  duration StopDelay{};   ///< A planned stop takes new jobs for this long.
  duration StopLimit{}; ///< A process that stops is killed after this; 0 if it
                        ///< is waited for.
  bool Evacuation = false; ///< Evacuated zones are read from the platform.

  /// A chunked body may hold twice its size while it grows, and a part of the
  /// memory is reserved for ordinary requests.
  std::uint64_t getLeastClientMemory() const {
    constexpr std::uint64_t Factor = 3;
    return Factor * MaxBodyBytes;
  }
};

struct companion_settings {
  process_settings Process;
  peer_address Announcements; ///< Where the endpoint announces itself.
  peer_address Balancer; ///< The platform's balancer in front of the entries.
  std::vector<peer_address> Entries; ///< Known beforehand; may be outdated.
  peer_address Orders;               ///< Where a leased endpoint takes orders.
  /// Starts are in doubt after the time that answers usually take.
  bool AdaptsDoubt = false;
  /// Loads have the used room by class, for entries that avoid interference.
  bool ReportsClassRooms = false;
  /// How long a leased endpoint may take to kill a stopped run.
  duration KillTime = std::chrono::milliseconds(50);
  std::uint32_t MaxQueuedTasks = 1'024;
  duration EndpointTimeLimit = std::chrono::minutes(10);
};

/// Parses settings. Reports every fault with its line and column: unknown and
/// duplicate keys, missing keys, wrong types, values out of range.
checked<entry_settings> parseEntry(std::string_view Text,
                                   const std::string &Source);
checked<companion_settings> parseCompanion(std::string_view Text,
                                           const std::string &Source);

} // namespace crocuswood::settings
