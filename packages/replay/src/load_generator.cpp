#include "load_generator.h"

#include "random_stream.h"

#include <cmath>

namespace crocuswood::replay {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

double count(duration Span) { return static_cast<double>(Span.count()); }

duration drawRunTime(const run_time_range &Range, random_stream &Random) {
  if (Random.unit() < Range.TailShare) {
    return duration(static_cast<std::int64_t>(
        Random.between(count(Range.TailFrom), count(Range.TailTo))));
  }
  const double Low = std::log(count(Range.From));
  const double High = std::log(count(Range.To));
  return duration(
      static_cast<std::int64_t>(std::exp(Random.between(Low, High))));
}

const mix_part &drawPart(const std::vector<mix_part> &Mix, double Shares,
                         random_stream &Random) {
  double Draw = Random.unit() * Shares;
  for (const mix_part &Part : Mix) {
    Draw -= Part.Share;
    if (Draw < 0) {
      return Part;
    }
  }
  return Mix.back();
}

double sumShares(const std::vector<mix_part> &Mix) {
  double Sum = 0;
  for (const mix_part &Part : Mix) {
    Sum += Part.Share;
  }
  return Sum;
}

// Mean work of a job in microseconds of a slot.
double getMeanWork(const std::vector<mix_part> &Mix) {
  double Work = 0;
  for (const mix_part &Part : Mix) {
    const double MeanTasks = (Part.FewestTasks + Part.MostTasks) / 2.0;
    Work += Part.Share * MeanTasks * Part.RunTimes.getMean();
  }
  return Work / sumShares(Mix);
}

arrival makeArrival(const mix_part &Part, instant At, const std::string &Key,
                    random_stream &Random) {
  arrival Arrival{.At = At,
                  .Class = Part.Class,
                  .Team = Part.Team,
                  .Deadline = Part.Deadline};
  if (Part.Keyed) {
    Arrival.Key = Key;
  }
  if (Part.DeclaredTo > 0) {
    Arrival.DeclaredFactor = std::exp(
        Random.between(std::log(Part.DeclaredFrom), std::log(Part.DeclaredTo)));
  }
  const std::uint64_t Tasks =
      Part.FewestTasks + Random.below(Part.MostTasks - Part.FewestTasks + 1ULL);
  for (std::uint64_t Task = 0; Task < Tasks; ++Task) {
    Arrival.RunTimes.push_back(drawRunTime(Part.RunTimes, Random));
  }
  return Arrival;
}

} // namespace

double run_time_range::getMean() const {
  const double Low = count(From);
  const double High = count(To);
  const double Body = From == To ? Low : (High - Low) / std::log(High / Low);
  const double Tail = (count(TailFrom) + count(TailTo)) / 2;
  return (1 - TailShare) * Body + TailShare * Tail;
}

std::vector<arrival> generate(const load_description &Load,
                              std::uint32_t Slots) {
  random_stream Random(Load.Seed);
  const double Shares = sumShares(Load.Mix);
  const double MeanGap = Load.Rate > 0
                             ? MicrosecondsPerSecond / Load.Rate
                             : getMeanWork(Load.Mix) / (Load.Load * Slots);
  std::vector<arrival> Arrivals;
  Arrivals.reserve(Load.Jobs);
  double Offset = 0;
  for (std::uint64_t Job = 0; Job < Load.Jobs; ++Job) {
    Offset += Random.exponential(MeanGap);
    const instant At = Load.At + duration(static_cast<std::int64_t>(Offset));
    const std::string Key =
        "load-" + std::to_string(Load.Seed) + "-" + std::to_string(Job);
    Arrivals.push_back(
        makeArrival(drawPart(Load.Mix, Shares, Random), At, Key, Random));
  }
  return Arrivals;
}

} // namespace crocuswood::replay
