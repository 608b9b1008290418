/// \file
/// The platform's threads of both roles.
#pragma once

#include "asio.h"
#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/platform.h>
#include <crocuswood/ports.h>
#include <crocuswood/rings.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>

namespace crocuswood::daemon {

/// How often the platform is asked.
struct platform_schedule {
  duration Poll;                                ///< Of the configuration.
  duration Renewal = std::chrono::seconds(10);  ///< Of the row of an entry.
  duration Lease = std::chrono::seconds(30);    ///< Of a row.
  duration CallLimit = std::chrono::seconds(2); ///< Of one call.
  duration ClaimTick = std::chrono::milliseconds(20); ///< Of retries of claims.
};

/// Opens the table service on the context of its duty.
using open_table = std::function<std::unique_ptr<table_service>(
    boost::asio::io_context &, duration CallLimit)>;
/// Opens the source of the configuration, which tells what it reads.
using open_configuration =
    std::function<std::unique_ptr<platform::configuration_source>(
        table_service &, std::function<void(const configuration &)>)>;

/// Opens the source of the evacuated zones.
using open_evacuation =
    std::function<std::unique_ptr<platform::evacuation_source>(
        boost::asio::io_context &, duration CallLimit,
        platform::evacuation_source::told)>;

/// The adapters to the platform that an entry uses.
struct platform_adapters {
  open_table OpenTable;
  open_configuration OpenConfiguration;
  open_evacuation OpenEvacuation; ///< Empty: evacuated zones aren't read.
};

/// Keeps what an entry has in the table service: its row, the configuration,
/// claims.
class entry_platform_duty {
public:
  /// Rings of this duty.
  struct joints {
    rings::ring<platform_item> &ToDecisions;
    rings::ring<platform_command> &FromDecisions;
    rings::ring<change_item> &ToObserver;
    rings::ring<change_asked> &FromObserver;
  };

  entry_platform_duty(rings::duty &Duty, const clock_port &Clock,
                      const platform_adapters &Adapters,
                      platform_schedule Schedule, platform::entry_row Self,
                      joints Joints);

  /// Starts the regular calls; to be called before the duty starts.
  void start();
  /// Deletes the row of this entry, waits for pending claims, and calls \p
  /// Done.
  void finish(std::function<void()> Done);

private:
  void takeCommands();
  void pollConfiguration();
  void renewRow();
  void tickClaims();
  void waitForClaims(std::function<void()> Done, instant Until);
  void noteStore();
  void takeEntries(const std::vector<platform::entry_row> &Entries);
  void push(platform_item Item);
  void changeConfiguration(change_asked Asked);

  const clock_port &Clock;
  platform_schedule Schedule;
  joints Joints;
  outbox<platform_item> ToDecisions;
  outbox<change_item> ToObserver;
  retry_timer Retry;
  std::unique_ptr<table_service> Client;
  platform::entry_registry Registry;
  std::unique_ptr<platform::configuration_source> Store;
  std::unique_ptr<platform::evacuation_source> Evacuation; ///< Null: not read.
  platform::claim_writer Claims;
  boost::asio::steady_timer PollTimer;
  boost::asio::steady_timer RenewTimer;
  boost::asio::steady_timer ClaimTimer;
  bool StoreUp = true;
  bool ClaimTimerArmed = false;
};

/// Reads the rows of the entries for a companion. It asks often only while no
/// entry is linked, so that thousands of companions do not load the table
/// service.
class companion_platform_duty {
public:
  companion_platform_duty(rings::duty &Duty, const clock_port &Clock,
                          const open_table &OpenTable,
                          platform_schedule Schedule,
                          rings::ring<platform_item> &ToDecisions,
                          const std::atomic<bool> &HasEntry);

  /// Starts the regular reads; to be called before the duty starts.
  void start();

private:
  /// Between two reads while an entry is linked.
  static constexpr duration LinkedInterval = std::chrono::minutes(5);

  void refresh();

  const clock_port &Clock;
  platform_schedule Schedule;
  outbox<platform_item> ToDecisions;
  const std::atomic<bool> &HasEntry;
  std::unique_ptr<table_service> Client;
  platform::entry_registry Registry;
  boost::asio::steady_timer Timer;
  std::optional<instant> ReadAt;
};

} // namespace crocuswood::daemon
