#include "adapters.h"

#include "daemon.h"
#include "leased_endpoint_duty.h"
#include "log.h"
#include "plain_endpoint_duty.h"

#include <crocuswood/config_check.h>
#include <crocuswood/http.h>
#include <crocuswood/site.h>

#include <algorithm>

namespace crocuswood::daemon {

namespace {

using settings::interface_kind;

constexpr const char *MemoryFile = "/proc/meminfo";
constexpr std::uint64_t BytesPerMegabyte = 1024ULL * 1024;
// If the system reports no memory: that of the smallest deployed machine.
constexpr std::uint64_t FallbackMachineBytes = 120 * BytesPerMegabyte;

std::uint64_t findMachineMemory(const settings::process_settings &Settings) {
  if (Settings.MachineMemoryMegabytes != 0) {
    return Settings.MachineMemoryMegabytes * BytesPerMegabyte;
  }
  const auto Text = readFile(MemoryFile);
  return (Text ? http::parseMemTotal(*Text) : std::nullopt)
      .value_or(FallbackMachineBytes);
}

http::server_limits makeFrontLimits(const settings::entry_settings &Settings,
                                    http::memory_account &Memory) {
  return {.MaxConnections = Settings.MaxConnections,
          .MaxBodyBytes = Settings.MaxBodyBytes,
          .IdleLimit = Settings.IdleLimit,
          .Memory = &Memory};
}

void logFaults(const findings &Faults) {
  for (const finding &Fault : Faults) {
    log(log_level::Warn, "configuration", toString(Fault));
  }
}

// A document may have thousands of routes, each with a warning.
constexpr std::size_t MaxCheckLines = 20;

// Logs what is doubtful in a configuration that is accepted.
std::function<void(const configuration &)>
logChecks(std::function<void(const configuration &)> Read) {
  return [Read = std::move(Read)](const configuration &Value) {
    const auto Found = config_check::check(Value);
    for (std::size_t Index = 0; Index < std::min(Found.size(), MaxCheckLines);
         ++Index) {
      log(log_level::Warn, "configuration",
          toString(Found[Index].What) + " " + Found[Index].Effect);
    }
    if (Found.size() > MaxCheckLines) {
      log(log_level::Warn, "configuration",
          std::to_string(Found.size()) +
              " warnings; crocuswood config check prints them.");
    }
    Read(Value);
  };
}

void logRows(const findings &Faults) {
  for (const finding &Fault : Faults) {
    log(log_level::Warn, "evacuation", toString(Fault));
  }
}

// Has a connection of its own, so that it doesn't wait behind the operators'
// document, which has hundreds of kilobytes.
class stored_evacuation : public platform::evacuation_source {
public:
  stored_evacuation(boost::asio::io_context &Context,
                    const peer_address &Address, duration CallLimit, told Told)
      : Store(Context, Address, CallLimit),
        Rows(Store, std::move(Told), logRows) {}
  void poll() override { Rows.poll(); }

private:
  site::row_store Store;
  site::evacuation_rows Rows;
};

} // namespace

std::unique_ptr<http::memory_account>
makeMemoryAccount(const settings::process_settings &Settings,
                  std::uint64_t Least) {
  const std::uint64_t Bytes =
      Settings.ClientMemoryBytes != 0
          ? Settings.ClientMemoryBytes
          : std::max(http::defaultBudget(findMachineMemory(Settings)), Least);
  return std::make_unique<http::memory_account>(
      http::makeBudgetOptions(Bytes),
      [](const std::string &Line) { log(log_level::Warn, "memory", Line); });
}

open_front chooseFront(const settings::entry_settings &Settings,
                       http::memory_account &Memory) {
  const http::server_limits Limits = makeFrontLimits(Settings, Memory);
  const bool IsSite = Settings.Process.Interface == interface_kind::Site;
  return
      [Limits, IsSite](boost::asio::io_context &Context,
                       caller_events &Events) -> std::unique_ptr<caller_port> {
        if (IsSite) {
          return std::make_unique<site::queue_front>(Context, Limits, Events);
        }
        return std::make_unique<http::caller_front>(Context, Limits, Events);
      };
}

platform_adapters choosePlatform(const settings::process_settings &Settings) {
  const peer_address Address = Settings.Platform;
  if (Settings.Interface == interface_kind::Site) {
    return {
        .OpenTable =
            [Address](boost::asio::io_context &Context,
                      duration CallLimit) -> std::unique_ptr<table_service> {
          return std::make_unique<site::row_store>(Context, Address, CallLimit);
        },
        .OpenConfiguration = [](table_service &Table,
                                std::function<void(const configuration &)> Read)
            -> std::unique_ptr<platform::configuration_source> {
          return std::make_unique<site::operator_configuration>(
              Table, logChecks(std::move(Read)), logFaults);
        },
        .OpenEvacuation = [Address](boost::asio::io_context &Context,
                                    duration CallLimit,
                                    platform::evacuation_source::told Told)
            -> std::unique_ptr<platform::evacuation_source> {
          return std::make_unique<stored_evacuation>(
              Context, Address, CallLimit, std::move(Told));
        }};
  }
  return {
      .OpenTable =
          [Address](boost::asio::io_context &Context,
                    duration CallLimit) -> std::unique_ptr<table_service> {
        return std::make_unique<http::platform_client>(Context, Address,
                                                       CallLimit);
      },
      .OpenConfiguration = [](table_service &Table,
                              std::function<void(const configuration &)> Read)
          -> std::unique_ptr<platform::configuration_source> {
        return std::make_unique<platform::configuration_store>(
            Table, logChecks(std::move(Read)));
      }};
}

std::unique_ptr<endpoint_duty>
openEndpoint(const settings::companion_settings &Settings,
             http::memory_account &Memory, rings::duty &Duty,
             const clock_port &Clock, rings::ring<endpoint_item> &ToDecisions,
             rings::ring<endpoint_command> &FromDecisions) {
  if (Settings.Process.Interface == interface_kind::Site) {
    return std::make_unique<leased_endpoint_duty>(
        Duty, Clock, Settings.Orders, Memory,
        runs::options{.Lease = Settings.Process.Lease.Endpoint,
                      .AdaptsDoubt = Settings.AdaptsDoubt},
        ToDecisions, FromDecisions);
  }
  return std::make_unique<plain_endpoint_duty>(
      Duty, Memory, Settings.EndpointTimeLimit, ToDecisions, FromDecisions);
}

} // namespace crocuswood::daemon
