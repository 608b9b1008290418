/// \file
/// Chooses the adapters that the settings name.
#pragma once

#include "endpoint_duty.h"
#include "front_duty.h"
#include "platform_duty.h"

#include <crocuswood/settings.h>

#include <memory>

namespace crocuswood::daemon {

open_front chooseFront(const settings::entry_settings &Settings);
platform_adapters choosePlatform(const settings::process_settings &Settings);

/// \returns the duty that joins the endpoint to the decisions.
std::unique_ptr<endpoint_duty>
openEndpoint(const settings::companion_settings &Settings, rings::duty &Duty,
             const clock_port &Clock, rings::ring<endpoint_item> &ToDecisions,
             rings::ring<endpoint_command> &FromDecisions);

} // namespace crocuswood::daemon
