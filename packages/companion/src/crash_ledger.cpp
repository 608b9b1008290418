#include "crash_ledger.h"

#include <algorithm>
#include <chrono>

namespace crocuswood::companion {

namespace {

/// About twenty crashes of an endpoint with a dozen tasks. One record takes
/// some 100 bytes, and every new link carries them all.
constexpr std::size_t MaxRecords = 256;
/// Longer than jobs live, and than a caller repeats one that it has lost.
constexpr duration MaxAge = std::chrono::minutes(10);
/// Named in one line of the log.
constexpr std::size_t MaxDescribed = 4;

// A crash tells of a single task only if nothing else ran.
std::uint32_t countNext(std::uint32_t Crashes, bool WasAlone) {
  const std::uint32_t Next = Crashes + 1;
  if (WasAlone && Next >= AloneCrashes) {
    return FatalCrashes;
  }
  return std::min(Next, AloneCrashes);
}

// About the tasks that a crash counts for.
std::string describe(const std::vector<crashed_task> &Tasks) {
  if (Tasks.empty()) {
    return "nothing ran on it";
  }
  std::string Text = "counted for";
  const std::size_t Described = std::min(Tasks.size(), MaxDescribed);
  for (std::size_t Each = 0; Each < Described; ++Each) {
    Text += (Each == 0 ? " task " : ", task ") +
            std::to_string(Tasks[Each].Index) + " of " + Tasks[Each].RunName +
            " (" + std::to_string(Tasks[Each].Crashes) + ")";
  }
  if (Described < Tasks.size()) {
    Text += " and " + std::to_string(Tasks.size() - Described) + " more";
  }
  return Text;
}

} // namespace

crash_report crash_ledger::count(const step &Step, const std::string &Endpoint,
                                 const endpoint_crashed &Crash) {
  std::vector<crashed_task> Tasks = Crash.Tasks;
  const bool WasAlone = Tasks.size() == 1 && !Crash.MayHaveOthers;
  timeline_event Event = makeEvent(event_kind::EndpointCrashed, Endpoint);
  Event.Value = static_cast<std::int64_t>(Tasks.size());
  for (crashed_task &Task : Tasks) {
    const auto Known = Records.find({Task.RunName, Task.Index});
    if (Known != Records.end()) {
      Task.Crashes = std::max(Task.Crashes, Known->second.Task.Crashes);
    }
    Task.Crashes = countNext(Task.Crashes, WasAlone);
    remember(Step.Now, Task);
  }
  forgetOld(Step.Now);
  Event.Reason = describe(Tasks);
  Step.record(std::move(Event));
  return {.Tasks = std::move(Tasks)};
}

crash_report crash_ledger::list(instant Now) {
  forgetOld(Now);
  crash_report Report;
  for (const auto &[Key, Record] : Records) {
    Report.Tasks.push_back(Record.Task);
  }
  return Report;
}

void crash_ledger::remember(instant Now, const crashed_task &Task) {
  Records.insert_or_assign({Task.RunName, Task.Index},
                           record{.Task = Task, .CountedAt = Now});
}

void crash_ledger::forgetOld(instant Now) {
  std::erase_if(Records, [Now](const auto &Item) {
    return Now - Item.second.CountedAt >= MaxAge;
  });
  const auto IsOlder = [](const auto &Left, const auto &Right) {
    return Left.second.CountedAt < Right.second.CountedAt;
  };
  while (Records.size() > MaxRecords) {
    Records.erase(std::ranges::min_element(Records, IsOlder));
  }
}

} // namespace crocuswood::companion
