/// \file
/// Public header of the package model: value types shared by every other
/// package.
///
/// Value types are aggregates with comparison operators. They are built once,
/// usually with designated initializers, and then passed by constant reference
/// or moved.
#pragma once

#include <crocuswood/model/configuration.h>
#include <crocuswood/model/findings.h>
#include <crocuswood/model/ids.h>
#include <crocuswood/model/job.h>
#include <crocuswood/model/link_activity.h>
#include <crocuswood/model/payload.h>
#include <crocuswood/model/peer_message.h>
#include <crocuswood/model/text.h>
#include <crocuswood/model/time.h>
#include <crocuswood/model/timeline_event.h>
