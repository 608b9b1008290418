/// \file
/// Decides which jobs are taken under load.
#pragma once

#include "entry_state.h"

#include <crocuswood/overload.h>

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>

namespace crocuswood::entry {

/// How a job is taken.
enum class admission_kind : std::uint8_t {
  OnTime, ///< It can meet its target.
  Late,   ///< It can't; it runs when nothing on time waits.
};

/// How a job is taken, or why it is refused, and by which figures.
struct admission_decision {
  std::variant<admission_kind, job_failure> Result;
  duration Wait{};     ///< Expected before a task starts.
  duration MaxWait{};  ///< Longest wait of a job on time.
  duration LateWait{}; ///< Expected if taken as late.
};

/// Compares the expected wait of a job with its target.
///
/// Short waits even out by themselves, so a job is judged strictly only in an
/// overload that lasts. Then a job that would miss its target is refused as
/// long as its class may refuse more. After that it is taken as late, so that
/// it does not make the jobs behind it miss their targets, too. When the late
/// jobs alone would take far too long, all that would be late are refused.
class admission {
public:
  explicit admission(entry_state &State) : State(State) {}

  /// \returns how to take \p Job, which is of \p Class, or why to refuse it.
  admission_decision decide(class_index Class, const job_request &Job);
  /// \returns after which time a caller should return whose job of \p Class was
  /// given up, \p Wait at the earliest.
  duration bookReturn(class_index Class, const std::string &Caller,
                      duration Wait, duration Work);
  /// \returns how long a job taken as late may wait.
  duration getLateLimit(class_index Class) const;
  /// Notes that a job of \p Class was answered.
  void noteAnswer(class_index Class, bool Missed);
  /// Moves the window on and brings the figures of the fleet up to date.
  void checkTimes();

private:
  static constexpr std::size_t WindowParts = 10;

  struct counts {
    std::uint32_t Submitted = 0;
    std::uint32_t Refused = 0;
    std::uint32_t Missed = 0; ///< Taken as late, or answered too late.
  };
  /// Slots or cores that tasks have got lately.
  struct rate {
    double Slots = 0;
    duration Taken{}; ///< When it was last measured.
  };
  struct window {
    std::array<counts, WindowParts> Parts{};
    counts Sum;
    std::uint32_t Slots = 0;
    rate Rate;
    double Tolerance = 0.75; ///< Part of the time left that a wait may take.
  };

  window &windowOf(class_index Class);
  /// Drops the oldest part of each window, and windows that are empty then.
  void endPart();
  counts &currentPart(window &Window);
  /// \returns how long waits are too long before an overload counts as lasting.
  duration overloadTime() const;
  double leastTolerance() const;
  double greatestTolerance() const;
  duration expectedWait(class_index Class);
  duration lateWait(class_index Class);
  duration longestWait(class_index Class, double Tolerance);
  static void follow(rate &Rate, duration Taken, double Passed);
  /// Follows how many slots each class and late tasks get.
  void measureRates(double Passed);
  /// \returns the part of the slots that more urgent classes leave to
  /// \p Class.
  double partLeft(class_index Class);
  /// \returns whether a job of \p Class must leave room to less urgent classes
  /// that would miss their targets more often.
  bool givesWay(class_index Class);
  /// \returns whether a job of \p Class that can't be on time by \p Decision is
  /// refused and not taken as late.
  bool refusesLate(class_index Class, const admission_decision &Decision);
  bool mayRefuse(const window &Window, class_index Class) const;
  /// \returns the slot time that \p Job is expected to take.
  duration workOf(class_index Class, const job_request &Job) const;
  /// \returns the part of the time left that a wait of \p Job may take now.
  double toleranceOf(const window &Window, const job_request &Job);
  job_failure refuse(class_index Class, const job_request &Job, duration Wait);
  double pressureOf(class_index Class);
  void balanceTolerances();
  void judgeOverload();

  entry_state &State;
  /// Of the classes in use: those with jobs in the window or the queue.
  std::map<class_index, window> Windows;
  /// Slots or cores that the tasks of each priority have got lately.
  std::map<std::uint32_t, double> SlotsByPriority;
  std::size_t Part = 0;
  instant PartEnds;
  /// Queued on all companions together, by priority.
  std::map<std::uint32_t, duration> QueuedWork;
  /// 1 while no overload lasts, 0 in an overload that has lasted.
  double Patience = 1;
  instant JudgedAt;
  rate LateRate;
  overload::fair_shares Shares; ///< By organisation.
  overload::return_schedule Returns;
};

} // namespace crocuswood::entry
