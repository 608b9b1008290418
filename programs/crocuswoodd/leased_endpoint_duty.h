/// \file
/// The endpoint's thread of a companion whose endpoint runs tasks under leases.
#pragma once

#include "asio.h"
#include "endpoint_duty.h"
#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/ports.h>
#include <crocuswood/rings.h>
#include <crocuswood/runs.h>
#include <crocuswood/site.h>

#include <functional>

namespace crocuswood::daemon {

/// Carries out what runs::supervisor decides.
class leased_endpoint_duty : public endpoint_duty {
public:
  leased_endpoint_duty(rings::duty &Duty, const clock_port &Clock,
                       const peer_address &Orders, http::memory_account &Memory,
                       runs::options Options,
                       rings::ring<endpoint_item> &ToDecisions,
                       rings::ring<endpoint_command> &FromDecisions);

  checked<std::uint16_t> listen(const peer_address &Address) override;
  void start() override;

private:
  void takeCommands();
  void tick();
  void wakeAt(instant Now, instant Wake);
  void carryOut();
  void carryOut(runs::step Step);
  void push(endpoint_item Item);

  const clock_port &Clock;
  outbox<endpoint_item> ToDecisions;
  rings::ring<endpoint_command> &FromDecisions;
  retry_timer Retry;
  const bool Adapts; ///< Starts are in doubt after a few milliseconds.
  bool Started = false;
  instant WakeAt; ///< The timer's expiry.
  runs::supervisor Supervisor;
  site::runner Runner;
  boost::asio::steady_timer Timer;
};

} // namespace crocuswood::daemon
