// Times what the model costs on the path of a task, and compares what entries
// see of each other's tasks on the same generated loads.

#include "small_fleet.h"

#include <chrono>
#include <cstdio>

using namespace crocuswood;
using namespace crocuswood::interference;

namespace {

constexpr std::uint32_t Rounds = 200'000;
constexpr double Harm = 0.8;
constexpr std::uint64_t Seeds = 4;

// Shares of MaxNeighbours classes among the first \p Classes ones.
std::vector<neighbour> drawNeighbours(std::mt19937_64 &Random,
                                      class_number Classes) {
  std::vector<neighbour> Drawn(MaxNeighbours);
  const auto Stride = Classes / static_cast<class_number>(MaxNeighbours);
  class_number First = 0;
  for (neighbour &Each : Drawn) {
    Each = {.Class = First + static_cast<class_number>(Random() % Stride),
            .Share = static_cast<double>(Random() % 100) / 400};
    First += Stride;
  }
  return Drawn;
}

template <class Function> double measure(Function Each) {
  const auto Start = std::chrono::steady_clock::now();
  for (std::uint32_t Round = 0; Round < Rounds; ++Round) {
    Each(Round);
  }
  const std::chrono::duration<double, std::nano> Span =
      std::chrono::steady_clock::now() - Start;
  return Span.count() / Rounds;
}

void timeModel(class_number Classes) {
  std::mt19937_64 Random(1);
  model Model;
  std::vector<pair_effect> Changes;
  constexpr std::size_t SetCount = 1'024;
  std::vector<std::vector<neighbour>> Sets;
  Sets.reserve(SetCount);
  while (Sets.size() < SetCount) {
    Sets.push_back(drawNeighbours(Random, Classes));
  }
  const double Learn = measure([&](std::uint32_t Round) {
    const auto &Set = Sets[Random() % Sets.size()];
    Model.learn({.Class = Round % 7,
                 .Endpoint = static_cast<endpoint_number>(Random() % 300),
                 .Ratio = std::exp(2 * (Set[0].Share + Set[1].Share)),
                 .Neighbours = Set},
                instant(duration(1'000LL * Round)), Changes);
  });
  double Sum = 0;
  const double Rate = measure([&](std::uint32_t Round) {
    Sum += Model.getHarm(Round % 7, Sets[Round % Sets.size()]);
  });
  std::printf("%u classes: end of a task %.0f ns; rating of a candidate %.0f "
              "ns, of four %.0f ns; %u pairs believed (sum %.0f)\n",
              Classes, Learn, Rate, 4 * Rate, Model.countBelieved(), Sum);
}

/// What beliefs are kept for.
struct grouping {
  const char *Name;
  std::array<class_number, 3> Victims;
  std::array<class_number, 3> Neighbours;
};
constexpr std::array<grouping, 3> Groupings = {
    grouping{"pairs of classes", {0, 1, 2}, {0, 1, 2}},
    grouping{"neighbour classes, all victims alike", {9, 9, 9}, {0, 1, 2}},
    grouping{"organisations (0 and 1; 2)", {0, 0, 2}, {0, 0, 2}}};

void compareGroupings() {
  for (const grouping &Grouping : Groupings) {
    for (const bool Harms : {true, false}) {
      double Mean = 0;
      std::size_t Found = 0;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        small_fleet Fleet({.Endpoints = 12,
                           .Avoids = true,
                           .Victims = Grouping.Victims,
                           .Neighbours = Grouping.Neighbours,
                           .Seed = Seed});
        Fleet.Harm[0][2] = Harms ? Harm : 0;
        Fleet.pass(30);
        Fleet.resetMean();
        Fleet.pass(30);
        Mean += Fleet.getMeanHarm() / Seeds;
        Found += Fleet.getChanges().empty() ? 0 : 1;
      }
      std::printf("%s, %s harm: mean slowdown %.3f, found in %zu of %zu\n",
                  Grouping.Name, Harms ? "with" : "without", Mean, Found,
                  static_cast<std::size_t>(Seeds));
    }
  }
}

/// What entries know of each other's tasks.
struct view {
  const char *Name;
  bool SeesAll;
  double LoadAge;
};
constexpr view OwnTasks = {"their own tasks", false, 0};
constexpr view Loads = {"loads of an age of 80 ms", false, 0.080};
constexpr view AllTasks = {"all tasks", true, 0};

void compare(std::size_t Entries, const view &View) {
  double MeanOff = 0;
  double MeanOn = 0;
  std::uint32_t Found = 0;
  std::size_t Changes = 0;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    for (const bool Avoids : {false, true}) {
      small_fleet Fleet({.Endpoints = 12,
                         .Entries = Entries,
                         .Avoids = Avoids,
                         .SeesAll = View.SeesAll,
                         .LoadAge = View.LoadAge,
                         .Seed = Seed});
      Fleet.Harm[0][2] = Harm;
      Fleet.pass(30);
      Fleet.resetMean();
      Fleet.pass(30);
      (Avoids ? MeanOn : MeanOff) += Fleet.getMeanHarm() / Seeds;
      for (std::size_t Entry = 0; Avoids && Entry < Entries; ++Entry) {
        Found += Fleet.getModel(Entry).believesAny() ? 1 : 0;
        Changes += Fleet.getChanges(Entry).size();
      }
    }
  }
  std::printf(
      "%zu entries, seeing %s: mean slowdown %.3f without and %.3f with "
      "the beliefs; %u of %zu entries believe, %zu changes\n",
      Entries, View.Name, MeanOff, MeanOn, Found, Entries * Seeds, Changes);
}

} // namespace

int main() {
  timeModel(8);
  // More classes than are kept: neighbours replace each other at every end.
  timeModel(16);
  compareGroupings();
  for (const std::size_t Entries : {1, 2, 4, 10}) {
    compare(Entries, OwnTasks);
    compare(Entries, Loads);
    if (Entries > 1) {
      compare(Entries, AllTasks);
    }
  }
  return 0;
}
