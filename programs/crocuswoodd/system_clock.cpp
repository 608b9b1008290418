#include "system_clock.h"

namespace crocuswood::daemon {

system_clock::system_clock()
    : SteadyStart(std::chrono::steady_clock::now()),
      WallStart(wallMicroseconds()) {}

instant system_clock::now() const {
  const auto Passed = std::chrono::steady_clock::now() - SteadyStart;
  return instant(duration(WallStart) +
                 std::chrono::duration_cast<duration>(Passed));
}

std::int64_t system_clock::wallMicroseconds() const {
  const auto Wall = std::chrono::system_clock::now().time_since_epoch();
  return std::chrono::duration_cast<duration>(Wall).count();
}

} // namespace crocuswood::daemon
