/// \file
/// The clock of a real process.
#pragma once

#include <crocuswood/ports.h>

#include <chrono>
#include <cstdint>

namespace crocuswood::daemon {

/// Steady time that starts near the wall clock, and the wall clock itself.
class system_clock : public clock_port {
public:
  system_clock();
  instant now() const override;
  std::int64_t wallMicroseconds() const override;

private:
  duration BootStart;
  std::int64_t WallStart;
};

} // namespace crocuswood::daemon
