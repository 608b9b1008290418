#include <crocuswood/capability.h>

#include <algorithm>
#include <cmath>

namespace crocuswood::capability {

void speed_scale::update(const std::vector<std::uint32_t> &Slownesses) {
  if (Slownesses.empty()) {
    return;
  }
  double Sum = 0;
  for (const std::uint32_t Each : Slownesses) {
    Sum += std::log(std::max(1U, Each));
  }
  Mean = std::exp(Sum / static_cast<double>(Slownesses.size()));
}

double speed_scale::relate(std::uint32_t Slowness) const {
  return std::max(1U, Slowness) / Mean;
}

} // namespace crocuswood::capability
