/// \file
/// Parses the first line of a trace.
#pragma once

#include "object_reader.h"
#include "trace_content.h"

namespace crocuswood::replay {

/// \returns the header as far as it can be read; faults are noted by \p Reader.
trace_header parseHeader(object_reader &Reader, fault_list &Faults);

} // namespace crocuswood::replay
