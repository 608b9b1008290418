/// \file
/// The endpoint's thread of a companion whose endpoint answers with results.
#pragma once

#include "endpoint_duty.h"
#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/http.h>
#include <crocuswood/rings.h>

#include <cstdint>

namespace crocuswood::daemon {

/// Calls the endpoint for each task and waits for its answer.
class plain_endpoint_duty : public endpoint_duty {
public:
  plain_endpoint_duty(rings::duty &Duty, http::memory_account &Memory,
                      duration RunLimit,
                      rings::ring<endpoint_item> &ToDecisions,
                      rings::ring<endpoint_command> &FromDecisions);

  checked<std::uint16_t> listen(const peer_address &Address) override;
  void start() override {}

private:
  void serve(const http::plain_request &Request,
             const http::plain_server::respond &Respond);
  void takeCommands();
  void run(companion::start_task Start);
  void push(endpoint_item Item);

  outbox<endpoint_item> ToDecisions;
  rings::ring<endpoint_command> &FromDecisions;
  retry_timer Retry;
  http::plain_server Announcements;
  http::endpoint_client Endpoint;
};

} // namespace crocuswood::daemon
