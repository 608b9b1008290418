/// \file
/// Sets aside companions whose endpoint fails what others complete.
#pragma once

#include "entry_state.h"

#include <array>
#include <cstdint>
#include <optional>
#include <vector>

namespace crocuswood::entry {

/// Compares the outcomes of a class on one companion with those of the same
/// class elsewhere, over the same span of time.
///
/// Each failure in a row lowers the number of tasks that the companion may have
/// at once, so a bad one takes few tasks until the others' outcomes are known.
/// If others complete the class, it is set aside and probed with single tasks
/// until they complete. If most others fail it too, the class is at fault and
/// nobody is set aside.
class health {
public:
  explicit health(entry_state &State) : State(State) {}

  /// A companion has said hello with a new incarnation. It is trusted with a
  /// few tasks at first.
  void welcome(companion_index Companion);
  void notePlaced(companion_index Companion, class_index Class);
  void noteCompleted(companion_index Companion, class_index Class,
                     instant PlacedAt);
  void noteFailed(companion_index Companion, class_index Class,
                  instant PlacedAt);
  /// The companion gave a task back because its endpoint can't be reached.
  void noteUnreachable(companion_index Companion, class_index Class);
  /// A probe was given back, so it proves nothing.
  void noteReturned(companion_index Companion, class_index Class);
  /// Lets probes go out whose time has come.
  void checkTimes();

private:
  /// Whether a companion may be given tasks of one class.
  enum class trust : std::uint8_t {
    Full,      ///< As many as it has room for.
    Suspended, ///< None until the others' outcomes are known.
    SetAside,  ///< None until the next probe.
    Probing,   ///< One.
    Probed,    ///< None until the probe ends.
  };
  struct standing {
    trust Trust = trust::Full;
    std::uint32_t Failures = 0; ///< In a row.
    instant FailingSince;
    instant NextProbe;
    duration ProbeDelay{};
    std::uint32_t ProbesCompleted = 0;
  };
  struct member {
    std::vector<standing> Classes;
    std::uint32_t Failures = 0; ///< In a row, over all classes.
    instant FailingSince;
    std::uint32_t Trusted = 0;  ///< Tasks at once; 0 for any number.
    instant CompletedPlacement; ///< Latest placement of a completed task.
    bool AllSetAside = false;
    std::optional<instant> NextProbe; ///< The earliest of all classes, or less.
  };
  struct outcome {
    companion_index Companion = NoCompanion;
    bool Completed = false;
    instant PlacedAt;
    instant EndedAt;
  };
  /// The last outcomes of a class.
  struct history {
    static constexpr std::size_t Size = 64;
    std::array<outcome, Size> Outcomes{};
    std::size_t Next = 0;
    bool FailsEverywhere = false;
  };
  struct comparison {
    std::uint32_t Completed = 0; ///< Placed after the failures had begun.
    std::uint32_t Failed = 0;
    std::uint32_t FailingCompanions = 0;
  };
  struct suspect {
    companion_index Companion = NoCompanion;
    class_index Class = 0;

    friend bool operator==(const suspect &, const suspect &) = default;
  };

  member &memberAt(companion_index Companion);
  standing &standingAt(companion_index Companion, class_index Class);
  history &historyOf(class_index Class);
  std::uint32_t exposureLimit() const;
  /// Takes the failure of a probe. \returns whether the task was one.
  bool endsProbe(companion_index Companion, class_index Class);
  void addOutcome(class_index Class, const outcome &Outcome);
  comparison compare(const suspect &Suspect);
  void judge(const suspect &Suspect);
  void judgeSuspects(class_index Class);
  void setAside(const suspect &Suspect);
  void setAsideClass(member &Member, standing &Standing);
  /// \returns whether a class of \p Member may be probed from now on.
  bool releaseProbes(member &Member);
  void restore(companion_index Companion, class_index Class);
  void forgive(const suspect &Suspect);
  void forgetSuspects(companion_index Companion);
  void applyLimits(companion_index Companion);

  entry_state &State;
  std::vector<member> Members;
  std::vector<history> Histories;
  std::vector<suspect> Suspects;
};

} // namespace crocuswood::entry
