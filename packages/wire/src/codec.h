/// \file
/// Encoding into a buffer that stands already.
#pragma once

#include <crocuswood/model.h>

#include <string>

namespace crocuswood::wire {

/// Appends \p Envelope as MessagePack to \p Out.
void encodeInto(std::string &Out, const peer_envelope &Envelope);

} // namespace crocuswood::wire
