#include "run_time_estimate.h"

#include <algorithm>
#include <cmath>

namespace crocuswood::entry {

namespace {

constexpr double BucketsPerDoubling = 4;
constexpr double SmallestMicroseconds = 100;
constexpr double MaxWeight = 512;
constexpr double LearningShare = 1.0 / 64;
constexpr std::uint32_t EnoughCorrections = 8;

// Steps quickly through the first samples, then by a constant share.
double stepShare(std::uint32_t Samples) {
  return std::max(LearningShare, 1.0 / Samples);
}

double microseconds(duration Value) {
  return static_cast<double>(std::max<std::int64_t>(Value.count(), 1));
}

} // namespace

std::size_t run_time_estimate::bucketOf(duration RunTime) {
  const double Ratio = microseconds(RunTime) / SmallestMicroseconds;
  if (Ratio <= 1) {
    return 0;
  }
  const auto Bucket =
      static_cast<std::size_t>(std::log2(Ratio) * BucketsPerDoubling) + 1;
  return std::min(Bucket, BucketCount - 1);
}

duration run_time_estimate::upperBoundOf(std::size_t Bucket) {
  const double Doublings = static_cast<double>(Bucket) / BucketsPerDoubling;
  return duration(
      static_cast<std::int64_t>(SmallestMicroseconds * std::exp2(Doublings)));
}

void run_time_estimate::learn(duration RunTime,
                              std::optional<duration> Declared) {
  if (Weight >= MaxWeight) {
    halveWeights();
  }
  Buckets[bucketOf(RunTime)] += 1;
  Weight += 1;
  ++Samples;
  const double Share = stepShare(Samples);
  const double Log = std::log(microseconds(RunTime));
  MeanMicroseconds += (microseconds(RunTime) - MeanMicroseconds) * Share;
  ClassSpread += (std::abs(Log - MeanLog) - ClassSpread) * Share;
  MeanLog += (Log - MeanLog) * Share;
  if (!Declared || Declared->count() <= 0) {
    return;
  }
  ++Corrections;
  const double CorrectionShare = stepShare(Corrections);
  const double Correction = Log - std::log(microseconds(*Declared));
  CorrectionSpread +=
      (std::abs(Correction - CorrectionLog) - CorrectionSpread) *
      CorrectionShare;
  CorrectionLog += (Correction - CorrectionLog) * CorrectionShare;
}

duration run_time_estimate::expect(std::optional<duration> Declared,
                                   duration Fallback) const {
  const bool HasDeclared = Declared && Declared->count() > 0;
  if (!hasSamples()) {
    return HasDeclared ? *Declared : Fallback;
  }
  // A declaration is used only where it has told more than the class's mean.
  if (HasDeclared && Corrections >= EnoughCorrections &&
      CorrectionSpread < ClassSpread) {
    return duration(static_cast<std::int64_t>(microseconds(*Declared) *
                                              std::exp(CorrectionLog)));
  }
  return duration(static_cast<std::int64_t>(MeanMicroseconds));
}

duration run_time_estimate::getQuantile(double Share, duration Fallback) const {
  if (!hasSamples()) {
    return Fallback;
  }
  double Left = Weight * Share;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    Left -= Buckets[Bucket];
    if (Left <= 0) {
      return upperBoundOf(Bucket);
    }
  }
  return upperBoundOf(BucketCount - 1);
}

void run_time_estimate::halveWeights() {
  Weight = 0;
  for (float &Bucket : Buckets) {
    Bucket /= 2;
    Weight += Bucket;
  }
}

} // namespace crocuswood::entry
