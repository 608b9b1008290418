#include "figures.h"
#include "random_stream.h"
#include "trace_content.h"

#include <crocuswood/replay.h>

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <queue>
#include <string_view>
#include <tuple>
#include <utility>

namespace crocuswood::replay {

namespace {

struct bound_task {
  std::size_t Job = 0;
  duration RunTime{};
};

struct bound_job {
  const arrival *Arrival = nullptr;
  instant AtEntry;
  std::string Zone; ///< Of its entry.
  std::size_t Left = 0;
  instant AnsweredAt;
};

struct bound_companion {
  const companion_description *Description = nullptr;
  std::uint32_t Free = 0;
};

// Steps the single queue through all arrivals in one order.
class single_queue {
public:
  single_queue(const trace_content &Trace, queue_order Order)
      : Trace(Trace), Order(Order), Random(Trace.Header.Seed) {
    for (const companion_description &Each : Trace.Header.Companions) {
      if (Each.Started) {
        Companions.push_back({.Description = &Each, .Free = Each.Offer.Slots});
        Slots += Each.Offer.Slots;
      }
    }
  }

  bound_result run() {
    for (const arrival &Arrival : Trace.Arrivals) {
      const instant AtEntry = Arrival.At + Trace.Header.Latencies.Client;
      serveUntil(AtEntry);
      add(Arrival, AtEntry);
      serve(AtEntry);
    }
    serveUntil(instant::max());
    return makeResult();
  }

private:
  using rank = std::tuple<std::int64_t, std::size_t>;
  using release = std::pair<instant, std::size_t>; // Of a companion's slot.

  void add(const arrival &Arrival, instant AtEntry) {
    const auto &Entries = Trace.Header.Entries;
    const std::string Zone =
        Entries.empty() ? "" : Entries[Random.below(Entries.size())].Zone;
    Jobs.push_back({.Arrival = &Arrival,
                    .AtEntry = AtEntry,
                    .Zone = Zone,
                    .Left = Arrival.RunTimes.size()});
    for (const duration RunTime : Arrival.RunTimes) {
      Tasks.push_back({.Job = Jobs.size() - 1, .RunTime = RunTime});
      Waiting.emplace(getRank(Tasks.size() - 1), Tasks.size() - 1);
    }
  }

  rank getRank(std::size_t Task) const {
    const bound_job &Job = Jobs[Tasks[Task].Job];
    switch (Order) {
    case queue_order::FirstCome:
      return {Job.AtEntry.time_since_epoch().count(), Task};
    case queue_order::EarliestDeadline: {
      const auto &Classes = Trace.Header.Configuration.Classes;
      const auto Class = Classes.find(Job.Arrival->Class);
      const duration Within = Class == Classes.end()
                                  ? duration::zero()
                                  : Class->second.AnswerWithin;
      const instant StartBy = Job.AtEntry + Within - Tasks[Task].RunTime;
      return {StartBy.time_since_epoch().count(), Task};
    }
    case queue_order::ShortestFirst:
      break;
    }
    return {Tasks[Task].RunTime.count(), Task};
  }

  void serveUntil(instant End) {
    while (!Releases.empty() && Releases.top().first <= End) {
      const auto [At, Companion] = Releases.top();
      Releases.pop();
      ++Companions[Companion].Free;
      serve(At);
    }
  }

  void serve(instant Now) {
    for (auto Place = Waiting.begin(); Place != Waiting.end();) {
      if (std::ranges::all_of(Companions, [](const bound_companion &Each) {
            return Each.Free == 0;
          })) {
        return;
      }
      const auto Companion = choose(Tasks[Place->second]);
      if (!Companion) {
        ++Place;
        continue;
      }
      start(Place->second, *Companion, Now);
      Place = Waiting.erase(Place);
    }
  }

  std::optional<std::size_t> choose(const bound_task &Task) const {
    const bound_job &Job = Jobs[Task.Job];
    std::optional<std::size_t> Chosen;
    for (std::size_t Index = 0; Index < Companions.size(); ++Index) {
      const auto &[Description, Free] = Companions[Index];
      const auto &Classes = Description->Offer.Classes;
      if (Free == 0 ||
          std::ranges::find(Classes, Job.Arrival->Class) == Classes.end()) {
        continue;
      }
      if (Description->Zone == Job.Zone) {
        return Index;
      }
      Chosen = Chosen.value_or(Index);
    }
    return Chosen;
  }

  void start(std::size_t Number, std::size_t Companion, instant Now) {
    const bound_task &Task = Tasks[Number];
    bound_job &Job = Jobs[Task.Job];
    const latencies &Latencies = Trace.Header.Latencies;
    const duration Path = Companions[Companion].Description->Zone == Job.Zone
                              ? Latencies.WithinZone
                              : Latencies.BetweenZones;
    const instant From = std::max(Now, Job.AtEntry + Path);
    const instant Until = From + Task.RunTime;
    --Companions[Companion].Free;
    Releases.emplace(Until, Companion);
    Job.AnsweredAt = std::max(Job.AnsweredAt, Until + Path + Latencies.Client);
    const instant Last = Trace.Arrivals.back().At;
    if (From < Last) {
      Useful += std::min(Until, Last) - From;
    }
  }

  bound_result makeResult() const {
    figure_table Figures(Trace.Header.Configuration);
    for (const bound_job &Job : Jobs) {
      if (Job.AnsweredAt == instant()) {
        Figures.addFailed(Job.Arrival->Class);
        continue;
      }
      Figures.addCompleted(Job.Arrival->Class, Job.AnsweredAt - Job.Arrival->At,
                           *std::ranges::max_element(Job.Arrival->RunTimes));
    }
    constexpr double Median = 0.5;
    constexpr double Tail = 0.99;
    bound_result Result{.Order = Order,
                        .Classes = Figures.makeClasses(),
                        .StretchP50 = Figures.findStretch(Median),
                        .StretchP99 = Figures.findStretch(Tail)};
    if (!Trace.Arrivals.empty() && Slots > 0) {
      const duration Span =
          Trace.Arrivals.back().At - Trace.Arrivals.front().At;
      Result.Goodput = static_cast<double>(Useful.count()) /
                       (static_cast<double>(Span.count()) * Slots);
    }
    return Result;
  }

  const trace_content &Trace;
  queue_order Order;
  random_stream Random;
  std::vector<bound_companion> Companions;
  std::vector<bound_job> Jobs;
  std::vector<bound_task> Tasks;
  std::map<rank, std::size_t> Waiting;
  std::priority_queue<release, std::vector<release>, std::greater<>> Releases;
  std::uint32_t Slots = 0;
  duration Useful{};
};

} // namespace

std::string toString(queue_order Order) {
  constexpr std::array<std::string_view, 3> Names = {
      "first_come", "earliest_deadline", "shortest_first"};
  return std::string(Names.at(static_cast<std::size_t>(Order)));
}

bound_result computeBound(const trace &Trace) {
  std::optional<bound_result> Best;
  for (const queue_order Order :
       {queue_order::FirstCome, queue_order::EarliestDeadline,
        queue_order::ShortestFirst}) {
    bound_result Result = single_queue(Trace.getContent(), Order).run();
    if (!Best || Result.StretchP99 < Best->StretchP99) {
      Best = std::move(Result);
    }
  }
  return *Best;
}

} // namespace crocuswood::replay
