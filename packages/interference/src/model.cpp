#include <crocuswood/interference.h>

#include <algorithm>
#include <cmath>
#include <numeric>

namespace crocuswood::interference {

namespace {

/// Runs of a victim after which older ones have lost most of their weight.
constexpr double RunMemory = 2'000;
/// Time after which runs have lost most of their weight, in microseconds.
constexpr double TimeMemory = 60e6;
/// Share of the latest run in the means on an endpoint.
constexpr double PlaceShare = 1.0 / 64;
/// Some runs take 7 times as long by themselves; a single run counts as no more
/// than e times its expectation.
constexpr double MaxLog = 1;
/// The prior of no harm: standard deviation of the effect of a neighbour.
constexpr double PairDeviation = 0.7;
/// Logarithms of run times differ by chance by no less than this.
constexpr double LeastVariance = 0.3 * 0.3;
/// Beliefs from fewer runs were mostly wrong in trials with overload and slow
/// spells.
constexpr double LeastRuns = 400;
/// The equations are solved once in this many runs, to save time.
constexpr std::uint32_t SolveInterval = 8;

} // namespace

void model::learn(const task_run &Run, instant Now,
                  std::vector<pair_effect> &Changes) {
  if (!(Run.Ratio > 0)) {
    return;
  }
  victim &Victim = findVictim(Run.Class, Now, Changes);
  row Shares{};
  const std::size_t Count = std::min(MaxNeighbours, Run.Neighbours.size());
  for (std::size_t Index = 0; Index < Count; ++Index) {
    const neighbour &Each = Run.Neighbours[Index];
    const double Share = std::clamp(Each.Share, 0.0, 1.0);
    const std::size_t Column =
        findColumn(Run.Class, Victim, Each.Class, Now, Changes);
    Shares[Column] += Share;
  }
  place &Place = findPlace(Run.Class, Run.Endpoint);
  const double Log = std::clamp(std::log(Run.Ratio), -MaxLog, MaxLog);
  const bool IsFirst = Place.Runs++ == 0;
  const double LogDifference = Log - Place.Log;
  row Differences{};
  const double Part = std::max(PlaceShare, 1.0 / Place.Runs);
  for (std::size_t Index = 0; Index < Size; ++Index) {
    if (Place.Lives[Index] != Victim.Columns[Index].Life) {
      Place.Lives[Index] = Victim.Columns[Index].Life;
      Place.Shares[Index] = 0;
    }
    Differences[Index] = Shares[Index] - Place.Shares[Index];
    Place.Shares[Index] += Differences[Index] * Part;
  }
  Place.Log += LogDifference * Part;
  if (IsFirst) {
    return;
  }

  const auto Age = static_cast<double>((Now - Victim.UsedAt).count());
  Victim.UsedAt = Now;
  scale(Victim,
        (1 - 1 / RunMemory) * std::exp(-std::max(0.0, Age) / TimeMemory));
  double Expected = 0;
  for (std::size_t Line = 0; Line < Size; ++Line) {
    Expected += Differences[Line] * Victim.Solution[Line];
    Victim.Responses[Line] += Differences[Line] * LogDifference;
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Victim.Products[Line][Index] += Differences[Line] * Differences[Index];
    }
  }
  ++Victim.Weight;
  const double Rest = LogDifference - Expected;
  Victim.Variance += (Rest * Rest - Victim.Variance) / Victim.Weight;
  if (++Victim.Unsolved >= SolveInterval) {
    solve(Victim);
    judge(Run.Class, Victim, Changes);
  }
}

void model::fade(instant Now, std::vector<pair_effect> &Changes) {
  for (auto &[Class, Victim] : Victims) {
    const auto Age = static_cast<double>((Now - Victim.UsedAt).count());
    if (Age <= 0) {
      continue;
    }
    Victim.UsedAt = Now;
    scale(Victim, std::exp(-Age / TimeMemory));
    solve(Victim);
    judge(Class, Victim, Changes);
  }
}

model::victim &model::findVictim(class_number Class, instant Now,
                                 std::vector<pair_effect> &Changes) {
  const auto Found = Victims.find(Class);
  if (Found != Victims.end()) {
    return Found->second;
  }
  if (Victims.size() >= MaxVictims) {
    removeVictim(std::min_element(Victims.begin(), Victims.end(),
                                  [](const auto &Left, const auto &Right) {
                                    return Left.second.UsedAt <
                                           Right.second.UsedAt;
                                  }),
                 Changes);
  }
  victim &Added = Victims[Class];
  Added.UsedAt = Now;
  return Added;
}

void model::removeVictim(std::map<class_number, victim>::iterator Place,
                         std::vector<pair_effect> &Changes) {
  for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
    clearColumn(Place->first, Place->second, Index, Changes);
  }
  // The means on endpoints go with their columns.
  std::erase_if(PlaceUses, [&](const auto &Use) {
    return Use.first == Place->first && Places.erase(Use) > 0;
  });
  Victims.erase(Place);
}

model::place &model::findPlace(class_number Class, endpoint_number Endpoint) {
  const std::pair Key(Class, Endpoint);
  const auto Found = Places.find(Key);
  if (Found != Places.end()) {
    PlaceUses.splice(PlaceUses.end(), PlaceUses, Found->second.Use);
    return Found->second;
  }
  if (Places.size() >= MaxPlaces) {
    Places.erase(PlaceUses.front());
    PlaceUses.pop_front();
  }
  place &Added = Places[Key];
  Added.Use = PlaceUses.insert(PlaceUses.end(), Key);
  return Added;
}

std::size_t model::findColumn(class_number Class, victim &Victim,
                              class_number Neighbour, instant Now,
                              std::vector<pair_effect> &Changes) {
  std::size_t Oldest = 0;
  for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
    column &Column = Victim.Columns[Index];
    if (Column.InUse && Column.Class == Neighbour) {
      Column.UsedAt = Now;
      return Index;
    }
    const column &Candidate = Victim.Columns[Oldest];
    if (Candidate.InUse &&
        (!Column.InUse || Column.UsedAt < Candidate.UsedAt)) {
      Oldest = Index;
    }
  }
  clearColumn(Class, Victim, Oldest, Changes);
  column &Column = Victim.Columns[Oldest];
  Column.Class = Neighbour;
  Column.UsedAt = Now;
  Column.InUse = true;
  return Oldest;
}

void model::clearColumn(class_number Class, victim &Victim, std::size_t Index,
                        std::vector<pair_effect> &Changes) {
  column &Column = Victim.Columns[Index];
  if (!Column.InUse) {
    return;
  }
  if (Column.Believed) {
    Column.Believed = false;
    Believed.erase({Class, Column.Class});
    Changes.push_back(describe(Class, Victim, Index));
  }
  Column.InUse = false;
  ++Column.Life;
  for (std::size_t Line = 0; Line < Size; ++Line) {
    Victim.Products[Line][Index] = 0;
    Victim.Products[Index][Line] = 0;
  }
  Victim.Responses[Index] = 0;
  Victim.Solution[Index] = 0;
  Victim.Effects[Index] = 0;
  Victim.Errors[Index] = PairDeviation;
}

void model::scale(victim &Victim, double Factor) {
  for (std::size_t Line = 0; Line < Size; ++Line) {
    Victim.Responses[Line] *= Factor;
    for (double &Product : Victim.Products[Line]) {
      Product *= Factor;
    }
  }
  Victim.Weight *= Factor;
}

/// Inverts the products with the prior added, by Gauss and Jordan. The matrix
/// is positive definite, so it needs no pivoting.
void model::solve(victim &Victim) {
  Victim.Unsolved = 0;
  const double Variance = std::max(LeastVariance, Victim.Variance);
  matrix Left = Victim.Products;
  matrix Inverse{};
  for (std::size_t Index = 0; Index < Size; ++Index) {
    Left[Index][Index] += Variance / (PairDeviation * PairDeviation);
    Inverse[Index][Index] = 1;
  }
  for (std::size_t Pivot = 0; Pivot < Size; ++Pivot) {
    const double Scale = 1 / Left[Pivot][Pivot];
    for (std::size_t Index = 0; Index < Size; ++Index) {
      Left[Pivot][Index] *= Scale;
      Inverse[Pivot][Index] *= Scale;
    }
    for (std::size_t Line = 0; Line < Size; ++Line) {
      const double Factor = Left[Line][Pivot];
      if (Line == Pivot || Factor == 0) {
        continue;
      }
      for (std::size_t Index = 0; Index < Size; ++Index) {
        Left[Line][Index] -= Factor * Left[Pivot][Index];
        Inverse[Line][Index] -= Factor * Inverse[Pivot][Index];
      }
    }
  }
  for (std::size_t Line = 0; Line < Size; ++Line) {
    Victim.Solution[Line] =
        std::inner_product(Inverse[Line].begin(), Inverse[Line].end(),
                           Victim.Responses.begin(), 0.0);
  }
  const std::size_t Usual = findUsual(Victim);
  for (std::size_t Line = 0; Line < Size; ++Line) {
    Victim.Effects[Line] = Victim.Solution[Line] - Victim.Solution[Usual];
    const double Spread =
        Inverse[Line][Line] + Inverse[Usual][Usual] - 2 * Inverse[Line][Usual];
    Victim.Errors[Line] = std::sqrt(std::max(0.0, Spread * Variance));
  }
}

/// \returns the neighbour with the median effect, the lower one of two. With
/// a single neighbour, harm can't be told from load.
std::size_t model::findUsual(const victim &Victim) {
  std::array<std::size_t, MaxNeighbours> Order{};
  std::size_t Count = 0;
  for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
    if (Victim.Columns[Index].InUse) {
      Order[Count++] = Index;
    }
  }
  if (Count == 0) {
    return 0;
  }
  const auto Middle =
      Order.begin() + static_cast<std::ptrdiff_t>((Count - 1) / 2);
  std::nth_element(Order.begin(), Middle,
                   Order.begin() + static_cast<std::ptrdiff_t>(Count),
                   [&](std::size_t Left, std::size_t Right) {
                     return Victim.Solution[Left] < Victim.Solution[Right];
                   });
  return *Middle;
}

void model::judge(class_number Class, victim &Victim,
                  std::vector<pair_effect> &Changes) {
  for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
    column &Column = Victim.Columns[Index];
    if (!Column.InUse) {
      continue;
    }
    const double Lower =
        Victim.Effects[Index] -
        (Column.Believed ? EndErrors : BoundErrors) * Victim.Errors[Index];
    const double Least =
        std::log1p(Column.Believed ? HarmEndThreshold : HarmThreshold);
    const bool Now =
        Lower > Least && (Column.Believed || Victim.Weight >= LeastRuns);
    if (Now) {
      Believed[{Class, Column.Class}] = Victim.Effects[Index];
    } else {
      Believed.erase({Class, Column.Class});
    }
    if (Now != Column.Believed) {
      Column.Believed = Now;
      Changes.push_back(describe(Class, Victim, Index));
    }
  }
}

pair_effect model::describe(class_number Class, const victim &Victim,
                            std::size_t Index) {
  const double Effect = Victim.Effects[Index];
  const double Margin = BoundErrors * Victim.Errors[Index];
  return {.Victim = Class,
          .Neighbour = Victim.Columns[Index].Class,
          .Slowdown = {.Factor = std::exp(Effect),
                       .Lower = std::exp(Effect - Margin),
                       .Upper = std::exp(Effect + Margin)},
          .Runs = Victim.Weight,
          .Believed = Victim.Columns[Index].Believed};
}

slowdown model::expect(class_number Class,
                       const std::vector<neighbour> &Neighbours) const {
  const auto Found = Victims.find(Class);
  double Effect = 0;
  double Variance = 0;
  for (const neighbour &Each : Neighbours) {
    double Error = PairDeviation;
    if (Found != Victims.end()) {
      const victim &Victim = Found->second;
      for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
        const column &Column = Victim.Columns[Index];
        if (Column.InUse && Column.Class == Each.Class &&
            Victim.Errors[Index] > 0) {
          Effect += Each.Share * Victim.Effects[Index];
          Error = Victim.Errors[Index];
        }
      }
    }
    Variance += Each.Share * Each.Share * Error * Error;
  }
  const double Margin = BoundErrors * std::sqrt(Variance);
  return {.Factor = std::exp(Effect),
          .Lower = std::exp(Effect - Margin),
          .Upper = std::exp(Effect + Margin)};
}

double model::getSlowdown(class_number Class,
                          const std::vector<neighbour> &Neighbours) const {
  double Log = 0;
  for (const neighbour &Each : Neighbours) {
    const auto Found = Believed.find({Class, Each.Class});
    Log += Found == Believed.end() ? 0 : Found->second * Each.Share;
  }
  return std::exp(Log);
}

double model::getHarm(class_number Class,
                      const std::vector<neighbour> &Neighbours) const {
  if (Believed.empty()) {
    return 0;
  }
  double Harm = 0;
  for (const neighbour &Each : Neighbours) {
    const auto ToTask = Believed.find({Class, Each.Class});
    if (ToTask != Believed.end()) {
      Harm += Each.Share * ToTask->second;
    }
    const auto ToNeighbour = Believed.find({Each.Class, Class});
    if (ToNeighbour != Believed.end()) {
      Harm += Each.Share * ToNeighbour->second;
    }
  }
  return Harm;
}

std::vector<pair_effect> model::list() const {
  std::vector<pair_effect> Pairs;
  for (const auto &[Class, Victim] : Victims) {
    for (std::size_t Index = 0; Index < MaxNeighbours; ++Index) {
      if (Victim.Columns[Index].InUse) {
        Pairs.push_back(describe(Class, Victim, Index));
      }
    }
  }
  std::sort(Pairs.begin(), Pairs.end(),
            [](const pair_effect &Left, const pair_effect &Right) {
              return std::pair(Left.Victim, Left.Neighbour) <
                     std::pair(Right.Victim, Right.Neighbour);
            });
  return Pairs;
}

} // namespace crocuswood::interference
