#include "name_table.h"

#include <crocuswood/model.h>

namespace crocuswood {

namespace {

// In the order of event_kind.
constexpr std::array<std::string_view, EventKindCount> KindNames = {
    "process_started",
    "process_stopping",
    "process_stopped",
    "job_submitted",
    "job_refused",
    "job_accepted",
    "job_completed",
    "job_failed",
    "answer_sent",
    "answer_dropped",
    "cancel_asked",
    "job_taken_over",
    "task_placed",
    "task_withdrawn",
    "task_returned",
    "task_result_taken",
    "task_result_stale",
    "task_repeated",
    "task_uncertain",
    "task_queued",
    "task_duplicate",
    "task_started",
    "task_ended",
    "task_failed",
    "task_not_started",
    "task_lost",
    "task_stopped",
    "endpoint_ran",
    "link_opened",
    "link_silent",
    "link_closed",
    "link_resumed",
    "peer_replaced",
    "endpoint_announced",
    "endpoint_leaving",
    "endpoint_gone",
    "endpoint_set_aside",
    "endpoint_restored",
    "claim_asked",
    "claim_confirmed",
    "claim_held",
    "claim_unknown",
    "claim_settled",
    "configuration_accepted",
    "configuration_in_force",
    "configuration_ignored",
    "entry_overloaded",
    "entry_recovered",
    "store_down",
    "store_up",
    "turn_slow",
    "input_dropped",
    "endpoint_crashed",
    "endpoint_restarted",
    "announcement_ignored",
    "lease_withheld",
    "unknown_runs",
    "process_paused",
    "evacuation_changed",
    "evacuation_outdated",
    "evacuation_drained",
    "interference_found",
    "interference_gone",
    "endpoint_cold",
};
static_assert(!KindNames.back().empty());

} // namespace

std::string_view toString(event_kind Kind) {
  return KindNames.at(static_cast<std::size_t>(Kind));
}

std::optional<event_kind> parseEventKind(std::string_view Text) {
  return findName<event_kind>(KindNames, Text);
}

} // namespace crocuswood
