/// \file
/// Chooses the adapters that the settings name.
#pragma once

#include "endpoint_duty.h"
#include "front_duty.h"
#include "platform_duty.h"

#include <crocuswood/memory_budget.h>
#include <crocuswood/settings.h>

#include <memory>

namespace crocuswood::daemon {

/// \returns the budget of what peers hold, \p Least bytes at least unless the
/// settings say otherwise.
std::unique_ptr<http::memory_account>
makeMemoryAccount(const settings::process_settings &Settings,
                  std::uint64_t Least = 0);
open_front chooseFront(const settings::entry_settings &Settings,
                       http::memory_account &Memory);
platform_adapters choosePlatform(const settings::process_settings &Settings);

/// \returns the duty that joins the endpoint to the decisions.
std::unique_ptr<endpoint_duty>
openEndpoint(const settings::companion_settings &Settings,
             http::memory_account &Memory, rings::duty &Duty,
             const clock_port &Clock, rings::ring<endpoint_item> &ToDecisions,
             rings::ring<endpoint_command> &FromDecisions);

} // namespace crocuswood::daemon
