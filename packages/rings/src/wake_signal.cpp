#include <crocuswood/rings.h>

#include <cerrno>
#include <cstdint>
#include <system_error>
#include <unistd.h>

#include <sys/eventfd.h>

namespace crocuswood::rings {

wake_signal::wake_signal()
    : Descriptor(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC)) {
  if (Descriptor < 0) {
    throw std::system_error(errno, std::generic_category(), "eventfd");
  }
}

wake_signal::~wake_signal() { close(Descriptor); }

void wake_signal::raise() {
  // The exchange orders the producer's push before the consumer's look, also
  // when the consumer was woken already and no system call is needed.
  if (Raised.exchange(true, std::memory_order_acq_rel)) {
    return;
  }
  const std::uint64_t One = 1;
  while (write(Descriptor, &One, sizeof One) < 0 && errno == EINTR) {
  }
}

void wake_signal::lower() {
  // The descriptor is emptied before the flag is cleared. In the other order a
  // raise in between would leave the flag set and the descriptor empty, and
  // every later raise would be lost.
  std::uint64_t Count = 0;
  while (read(Descriptor, &Count, sizeof Count) < 0 && errno == EINTR) {
  }
  Raised.exchange(false, std::memory_order_acq_rel);
}

} // namespace crocuswood::rings
