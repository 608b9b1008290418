/// \file
/// The callers' thread of an entry.
#pragma once

#include "items.h"
#include "outbox.h"
#include "retry_timer.h"

#include <crocuswood/http.h>
#include <crocuswood/rings.h>

#include <cstdint>
#include <functional>

namespace crocuswood::daemon {

/// Joins http::caller_front to the decisions.
class front_duty : private http::caller_events {
public:
  front_duty(rings::duty &Duty, http::server_limits Limits,
             rings::ring<front_item> &ToDecisions,
             rings::ring<entry::answer_caller> &FromDecisions);
  ~front_duty() override;

  /// To be called before the duty starts.
  checked<std::uint16_t> listen(const peer_address &Address);
  /// Writes every answer, closes every connection, and calls \p Done on the
  /// callers' thread.
  void drain(std::function<void()> Done);

private:
  bool jobSubmitted(request_id Request, job_request Job) override;
  void jobCancelled(request_id Request, bool CallerGone) override;
  void takeAnswers();

  outbox<front_item> ToDecisions;
  rings::ring<front_item> &Ring;
  rings::ring<entry::answer_caller> &FromDecisions;
  retry_timer Retry;
  http::caller_front Front;
};

} // namespace crocuswood::daemon
