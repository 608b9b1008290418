/// \file
/// Public header of the package settings: the YAML settings of one process.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <string>
#include <string_view>

namespace crocuswood::settings {

/// How a process writes its log.
struct log_settings {
  std::string Level = "info"; ///< trace, debug, info, warn or error.
  std::string Form = "text";  ///< text or json.
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
  duration SilenceLimit = std::chrono::seconds(2);
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
};

struct companion_settings {
  process_settings Process;
  peer_address Announcements; ///< Where the endpoint announces itself.
  peer_address Balancer; ///< The platform's balancer in front of the entries.
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
