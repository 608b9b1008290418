/// \file
/// Parses the timed inputs and stated outcomes of a trace.
#pragma once

#include "object_reader.h"
#include "trace_content.h"

namespace crocuswood::replay {

/// Adds what an input line says to \p Content.
void parseInput(object_reader &Reader, trace_content &Content);
/// Adds a stated outcome to \p Content.
void parseExpectation(object_reader &Reader, trace_content &Content);

} // namespace crocuswood::replay
