/// \file
/// The callers' thread of an entry.
#pragma once

#include "asio.h"
#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/ports.h>
#include <crocuswood/rings.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace crocuswood::daemon {

/// Opens the front that callers connect to, on the context of its duty.
using open_front = std::function<std::unique_ptr<caller_port>(
    boost::asio::io_context &, caller_events &)>;

/// Joins the callers' front to the decisions.
class front_duty : private caller_events {
public:
  front_duty(rings::duty &Duty, const open_front &OpenFront,
             rings::ring<front_item> &ToDecisions,
             rings::ring<front_command> &FromDecisions);
  ~front_duty() override;

  /// To be called before the duty starts.
  checked<std::uint16_t> listen(const peer_address &Address);
  /// Writes every answer, closes every connection, and calls \p Done on the
  /// callers' thread.
  void drain(std::function<void()> Done);

private:
  bool jobSubmitted(request_id Request, job_request Job) override;
  void jobCancelled(request_id Request, bool CallerGone) override;
  void inputDropped(std::uint64_t Bytes) override;
  void checkCallers();
  void takeCommands();

  outbox<front_item> ToDecisions;
  rings::ring<front_item> &Ring;
  rings::ring<front_command> &FromDecisions;
  retry_timer Retry;
  std::unique_ptr<caller_port> Front;
};

} // namespace crocuswood::daemon
