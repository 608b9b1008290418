/// \file
/// A wake signal that only counts.
#pragma once

#include <crocuswood/rings.h>

#include <future>
#include <memory>
#include <thread>
#include <vector>

namespace crocuswood::rings_test {

/// Counts how often it was raised.
class counting_signal final : public rings::wake_signal {
public:
  void raise() override { ++Raises; }

  int Raises = 0;
};

} // namespace crocuswood::rings_test
