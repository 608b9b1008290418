/// \file
/// Looks at a wake signal from outside.
#pragma once

#include <crocuswood/rings.h>

#include <future>
#include <memory>
#include <poll.h>
#include <thread>
#include <vector>

namespace crocuswood::rings_test {

/// \returns whether a consumer that waits for \p Signal would wake up.
inline bool isReadable(const rings::wake_signal &Signal) {
  pollfd Descriptor{
      .fd = Signal.getDescriptor(), .events = POLLIN, .revents = 0};
  return poll(&Descriptor, 1, 0) == 1;
}

} // namespace crocuswood::rings_test
