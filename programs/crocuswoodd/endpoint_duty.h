/// \file
/// The endpoint's thread of a companion.
#pragma once

#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/http.h>
#include <crocuswood/rings.h>

#include <cstdint>

namespace crocuswood::daemon {

/// Joins the endpoint beside the companion, its announcements and its runs, to
/// the decisions.
class endpoint_duty {
public:
  endpoint_duty(rings::duty &Duty, duration RunLimit,
                rings::ring<endpoint_item> &ToDecisions,
                rings::ring<endpoint_command> &FromDecisions);

  /// Listens for announcements; to be called before the duty starts.
  checked<std::uint16_t> listen(const peer_address &Address);

private:
  void serve(const http::plain_request &Request,
             const http::plain_server::respond &Respond);
  void takeCommands();
  void start(companion::start_task Start);
  void push(endpoint_item Item);

  outbox<endpoint_item> ToDecisions;
  rings::ring<endpoint_command> &FromDecisions;
  retry_timer Retry;
  http::plain_server Announcements;
  http::endpoint_client Endpoint;
};

} // namespace crocuswood::daemon
