/// \file
/// What an entry has learned about the run time of one class.
#pragma once

#include <crocuswood/model.h>

#include <array>
#include <cstdint>
#include <optional>

namespace crocuswood::entry {

/// Learns the mean and the quantiles of a class's run times, and how far the
/// callers' declarations are off. Older samples lose weight.
class run_time_estimate {
public:
  /// Takes the run time of a task that has ended.
  void learn(duration RunTime, std::optional<duration> Declared);

  /// \returns the expected run time of a task. \p Fallback is used while
  /// nothing is known and nothing was declared.
  duration expect(std::optional<duration> Declared, duration Fallback) const;

  /// \returns the run time that the share \p Share of tasks stays within, or
  /// \p Fallback while nothing is known.
  duration getQuantile(double Share, duration Fallback) const;

  std::uint32_t countSamples() const { return Samples; }
  bool hasSamples() const { return Weight > 0; }

private:
  static constexpr std::size_t BucketCount = 96;

  static std::size_t bucketOf(duration RunTime);
  static duration upperBoundOf(std::size_t Bucket);
  void halveWeights();

  std::array<float, BucketCount> Buckets{};
  double Weight = 0;
  double MeanMicroseconds = 0;
  double CorrectionLog = 0;    ///< Mean of log(actual / declared).
  double CorrectionSpread = 0; ///< Mean distance from CorrectionLog.
  double ClassSpread = 0;      ///< Mean distance of log(actual) from MeanLog.
  double MeanLog = 0;
  std::uint32_t Corrections = 0;
  std::uint32_t Samples = 0;
};

} // namespace crocuswood::entry
