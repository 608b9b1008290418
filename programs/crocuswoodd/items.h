/// \file
/// Items of the rings between the duties of a daemon.
#pragma once

#include <crocuswood/companion.h>
#include <crocuswood/config.h>
#include <crocuswood/entry.h>
#include <crocuswood/model.h>
#include <crocuswood/platform.h>
#include <crocuswood/ports.h>

#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::daemon {

// Links to decisions.

struct link_up {
  link_id Link{};
  peer_address Remote;
};
struct link_received {
  link_id Link{};
  peer_envelope Envelope;
};
struct link_down {
  link_id Link{};
  std::string Reason;
};
using link_item = std::variant<link_up, link_received, link_down>;

// Decisions to links.

struct dial_link {
  link_id Link{};
  peer_address Remote;
};
struct write_link {
  link_id Link{};
  peer_envelope Envelope;
};
struct drop_link {
  link_id Link{};
};
using link_command = std::variant<dial_link, write_link, drop_link>;

// Front to decisions.

/// A caller's connection has ended with input after its last answer.
struct input_dropped {
  std::uint64_t Bytes = 0;
};
using front_item = std::variant<entry::job_submitted, entry::job_cancelled,
                                entry::callers_checked, input_dropped>;

// Decisions to front.

/// A planned stop has begun.
struct stop_announced {};
using front_command =
    std::variant<entry::answer_caller, entry::configuration_adopted,
                 entry::steer_callers, entry::intake_closed,
                 entry::check_callers, stop_announced>;

// Platform to decisions.

/// The table service has stopped or begun to answer.
struct store_changed {
  bool Up = true;
};
struct change_recorded {
  std::uint64_t Revision = 0;
};
using platform_item =
    std::variant<entry::configuration_read, entry::entries_read,
                 entry::claim_answered, entry::claim_settled, store_changed,
                 change_recorded, entry::evacuation_read>;

// Decisions to platform.

using platform_command = std::variant<entry::ask_claim, entry::settle_claim>;

// Endpoint to decisions (companions only).

using endpoint_item =
    std::variant<companion::endpoint_announced, companion::run_completed,
                 companion::run_failed, companion::run_not_reached,
                 companion::run_lost, companion::run_stopped,
                 companion::run_refused, companion::endpoint_settled,
                 companion::endpoint_silent, companion::endpoint_crashed,
                 companion::endpoint_restarted, companion::announcement_ignored,
                 companion::lease_withheld, companion::unknown_runs>;
using endpoint_command =
    std::variant<companion::start_task, companion::stop_task,
                 companion::pools_configured>;

// Operators to platform and back.

/// A change that an operator has asked for.
struct change_asked {
  request_id Request{};
  config::change Change;
};
struct change_ended {
  request_id Request{};
  config::change_step Step;
};
/// Entries and their operators' ports, as read from the table service.
struct entries_known {
  std::vector<platform::entry_row> Entries;
};
using change_item = std::variant<change_ended, entries_known>;

// Operators to decisions.

/// A planned stop was asked for.
struct stop_asked {};
/// The settings name these entries.
struct entries_told {
  std::vector<peer_address> Entries;
};
using operators_item = std::variant<stop_asked, entries_told>;

// Decisions to operators.

/// The state of the core, published regularly.
using status_snapshot = std::variant<entry::status, companion::status>;

struct published_status {
  status_snapshot Status;
  /// The same object until the revision changes; never null.
  std::shared_ptr<const configuration> Configuration;
};
/// The core has ended everything after a planned stop.
struct decisions_finished {};
using observer_item = std::variant<std::vector<timeline_event>,
                                   published_status, decisions_finished>;

} // namespace crocuswood::daemon
