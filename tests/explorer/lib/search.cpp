#include "search.h"

#include <random>
#include <utility>

namespace crocuswood::explorer {

namespace {

/// Faults offered at a step.
struct offer {
  std::uint32_t Step = 0;
  std::vector<fault> Faults;
};

/// Follows a schedule, and notes what could happen after its last fault.
class scheduled_faults : public fault_source {
public:
  scheduled_faults(const schedule &Schedule,
                   std::unordered_set<std::uint64_t> *Visited, unsigned Left)
      : Schedule(Schedule), Visited(Visited), Left(Left) {}

  std::optional<std::size_t>
  choose(std::uint32_t Step, const std::vector<fault> &Offered) override {
    if (Next < Schedule.size()) {
      const injection &Due = Schedule[Next];
      if (Due.Step != Step || Due.Choice >= Offered.size()) {
        return std::nullopt;
      }
      ++Next;
      return Due.Choice;
    }
    Offers.push_back({.Step = Step, .Faults = Offered});
    return std::nullopt;
  }

  bool reach(std::uint64_t State) override {
    return Visited == nullptr || Next < Schedule.size() ||
           Visited->insert(mix(State, Left)).second;
  }

  const std::vector<offer> &getOffers() const { return Offers; }

private:
  const schedule &Schedule;
  std::unordered_set<std::uint64_t> *Visited;
  unsigned Left;
  std::size_t Next = 0;
  std::vector<offer> Offers;
};

/// Draws faults.
class random_faults : public fault_source {
public:
  random_faults(unsigned MaxFaults, std::uint64_t Seed)
      : Random(Seed), Left(MaxFaults) {}

  std::optional<std::size_t>
  choose(std::uint32_t Step, const std::vector<fault> &Offered) override {
    // About the number of steps of a run, so that faults spread over it.
    constexpr unsigned UsualSteps = 150;
    if (Left == 0 || Random() % UsualSteps >= Left + 1) {
      return std::nullopt;
    }
    --Left;
    const auto Choice = static_cast<std::uint32_t>(Random() % Offered.size());
    Schedule.push_back({.Step = Step, .Choice = Choice});
    return Choice;
  }
  bool reach(std::uint64_t /*State*/) override { return true; }

  const schedule &getSchedule() const { return Schedule; }

private:
  std::mt19937_64 Random;
  unsigned Left;
  schedule Schedule;
};

std::optional<counterexample> judge(const fleet &Fleet,
                                    const schedule &Schedule) {
  if (Fleet.getViolations().empty()) {
    return std::nullopt;
  }
  return counterexample{.Schedule = Schedule,
                        .Violation = Fleet.getViolations().front(),
                        .Story = Fleet.getStory()};
}

} // namespace

std::optional<counterexample> play(const scenario &Scenario,
                                   const schedule &Schedule) {
  scheduled_faults Faults(Schedule, nullptr, 0);
  fleet Fleet(Scenario, Faults);
  Fleet.run();
  return judge(Fleet, Schedule);
}

void exhaustive_search::run(unsigned Faults, std::size_t Most) {
  MaxFound = Most;
  schedule Prefix;
  explore(Prefix, Faults);
}

void exhaustive_search::explore(schedule &Prefix, unsigned Left) {
  scheduled_faults Faults(Prefix, Prefix.empty() ? nullptr : &Visited, Left);
  {
    fleet Fleet(Scenario, Faults);
    Fleet.run();
    ++Runs;
    if (Fleet.wasCut()) {
      ++Cuts;
      return;
    }
    if (auto Broken = judge(Fleet, Prefix)) {
      Found.push_back(std::move(*Broken));
      return;
    }
  }
  if (Left == 0) {
    return;
  }
  std::size_t Number = 0;
  for (const offer &Offer : Faults.getOffers()) {
    for (std::uint32_t Choice = 0; Choice < Offer.Faults.size(); ++Choice) {
      if (Only != nullptr && !Only(Offer.Faults[Choice].Kind)) {
        continue;
      }
      const bool IsMine = !Prefix.empty() || Number++ % Shards == Shard;
      if (!IsMine) {
        continue;
      }
      Prefix.push_back({.Step = Offer.Step, .Choice = Choice});
      explore(Prefix, Left - 1);
      Prefix.pop_back();
      if (Found.size() >= MaxFound) {
        return;
      }
    }
  }
}

std::optional<counterexample>
playRandom(const scenario &Scenario, unsigned MaxFaults, std::uint64_t Seed) {
  random_faults Faults(MaxFaults, Seed);
  fleet Fleet(Scenario, Faults);
  Fleet.run();
  return judge(Fleet, Faults.getSchedule());
}

} // namespace crocuswood::explorer
