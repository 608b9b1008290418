/// \file
/// Prints what the decision core of an entry costs: time for each task started
/// and ended, over companions and tasks of a job, time of a timed check over
/// the number of classes, and memory for each task and
/// companion.
#include "entry_load.h"

#include <array>
#include <iomanip>
#include <iostream>
#include <malloc.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr std::array<std::uint32_t, 3> CompanionCounts = {10, 100, 500};
constexpr std::array<std::uint32_t, 3> TaskCounts = {1, 100, 1300};
constexpr std::array<std::uint32_t, 4> IdleClassCounts = {0, 50, 1'450, 5'800};
constexpr std::uint64_t MeasuredChecks = 50;
constexpr std::uint64_t WarmUpTasks = 50'000;
constexpr std::uint64_t MeasuredTasks = 300'000;
constexpr std::size_t OutstandingTasks = 100'000;
constexpr double NanosecondsPerSecond = 1e9;

std::size_t heapBytes() { return mallinfo2().uordblks; }

void measureTime(const load_shape &Shape) {
  entry_load Load(Shape);
  Load.run(WarmUpTasks);
  const auto Nanoseconds = static_cast<double>(Load.run(MeasuredTasks));
  const double PerTask = Nanoseconds / MeasuredTasks;
  std::cout << std::setw(10) << Shape.Companions << std::setw(14)
            << Shape.TasksPerJob << std::setw(12) << std::fixed
            << std::setprecision(0) << PerTask << std::setw(16)
            << NanosecondsPerSecond / PerTask << '\n';
}

void measureChecks(std::uint32_t IdleClasses) {
  entry_load Load({.Companions = 76, .IdleClasses = IdleClasses});
  Load.run(1'000);
  const std::uint64_t Nanoseconds = Load.check(MeasuredChecks);
  std::cout << "ns of a timed check beside " << IdleClasses
            << " idle classes: " << Nanoseconds / MeasuredChecks << '\n';
}

void measureTaskMemory(std::uint32_t TasksPerJob) {
  entry_load Load({.Companions = 10, .TasksPerJob = TasksPerJob});
  Load.run(WarmUpTasks);
  const std::size_t Jobs = OutstandingTasks / TasksPerJob;
  const std::size_t Before = heapBytes();
  for (std::size_t Each = 0; Each < Jobs; ++Each) {
    Load.submitJob();
  }
  const std::size_t Bytes = heapBytes() - Before;
  std::cout << "bytes per outstanding task, jobs of " << TasksPerJob << ": "
            << Bytes / (Jobs * TasksPerJob) << '\n';
}

void measureEndedMemory() {
  entry_load Load({.Companions = 10, .TasksPerJob = 1});
  Load.run(WarmUpTasks);
  const std::size_t Before = heapBytes();
  Load.run(MeasuredTasks);
  const auto Growth = static_cast<std::int64_t>(heapBytes()) -
                      static_cast<std::int64_t>(Before);
  std::cout << "bytes grown over " << MeasuredTasks
            << " ended tasks: " << Growth << '\n';
}

void measureCompanionMemory() {
  constexpr std::uint32_t Companions = 500;
  entry_load Load({.Companions = 1});
  const std::size_t Before = heapBytes();
  Load.connect(Companions);
  std::cout << "bytes per companion: " << (heapBytes() - Before) / Companions
            << '\n';
}

} // namespace

int main() {
  std::cout << std::setw(10) << "companions" << std::setw(14) << "tasks per job"
            << std::setw(12) << "ns per task" << std::setw(16)
            << "starts a second" << '\n';
  for (const std::uint32_t Companions : CompanionCounts) {
    for (const std::uint32_t Tasks : TaskCounts) {
      measureTime({.Companions = Companions, .TasksPerJob = Tasks});
    }
  }
  for (const std::uint32_t Classes : IdleClassCounts) {
    measureChecks(Classes);
  }
  measureTaskMemory(1);
  measureTaskMemory(MaxTasksPerJob);
  measureEndedMemory();
  measureCompanionMemory();
  return 0;
}
