#include "system_clock.h"

#include <ctime>

namespace crocuswood::daemon {

namespace {

// Unlike the steady clock it counts the time for which a VM is suspended.
// Leases run on meanwhile, so the cores must see that time pass.
duration readBootClock() {
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return std::chrono::duration_cast<duration>(
      std::chrono::seconds(Time.tv_sec) +
      std::chrono::nanoseconds(Time.tv_nsec));
}

} // namespace

system_clock::system_clock()
    : BootStart(readBootClock()), WallStart(wallMicroseconds()) {}

instant system_clock::now() const {
  return instant(duration(WallStart) + (readBootClock() - BootStart));
}

std::int64_t system_clock::wallMicroseconds() const {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<duration>(Wall).count();
}

} // namespace crocuswood::daemon
