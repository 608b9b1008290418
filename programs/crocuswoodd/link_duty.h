/// \file
/// The links' thread of both roles.
#pragma once

#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/rings.h>
#include <crocuswood/wire.h>

#include <cstdint>
#include <functional>
#include <string>

namespace crocuswood::daemon {

/// Joins wire::link_endpoint to the decisions.
class link_duty : private link_events {
public:
  link_duty(rings::duty &Duty, wire::limits Limits,
            rings::ring<link_item> &ToDecisions,
            rings::ring<link_command> &FromDecisions);
  ~link_duty() override;

  /// Entries only; to be called before the duty starts.
  checked<std::uint16_t> listen(const peer_address &Address);
  /// Writes what was sent, closes every link, and calls \p Done on the links'
  /// thread.
  void drain(std::function<void()> Done);

private:
  void linkOpened(link_id Link, const peer_address &Remote) override;
  void envelopeReceived(link_id Link, peer_envelope Envelope) override;
  void linkClosed(link_id Link, const std::string &Reason) override;
  void takeCommands();
  void push(link_item Item);

  outbox<link_item> ToDecisions;
  rings::ring<link_command> &FromDecisions;
  retry_timer Retry;
  wire::link_endpoint Links;
};

} // namespace crocuswood::daemon
