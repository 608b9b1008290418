/// \file
/// Virtual time, and the steps at which faults may happen.
#pragma once

#include "fault.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuswood::explorer {

/// Mixes \p Value into the digest \p State.
constexpr std::uint64_t mix(std::uint64_t State, std::uint64_t Value) {
  constexpr std::uint64_t Multiplier = 0x9e3779b97f4a7c15;
  State ^= Value + Multiplier + (State << 6U) + (State >> 2U);
  State *= Multiplier;
  return State ^ (State >> 29U);
}
constexpr std::uint64_t mix(std::uint64_t State, std::string_view Text) {
  for (const char Each : Text) {
    State = mix(State, static_cast<std::uint64_t>(Each));
  }
  return State;
}

/// Something that happens at a time, unless a fault prevents it.
struct pending_step {
  std::string_view What;   ///< For people; a literal.
  std::string_view Who;    ///< The name of the receiver, which outlives it.
  std::uint64_t Label = 0; ///< Tells its content and receiver apart.
  std::vector<fault> Offered;
  std::function<void()> Run;
  /// Carries out one of `Offered`. \returns whether the step still happens.
  std::function<bool(const fault &)> Suffer;
  /// \returns whether the step still means anything; nothing for always.
  std::function<bool()> IsValid;
};

/// Carries out steps in the order of their times; those of one time in the
/// order in which they were added.
class world {
public:
  explicit world(fault_source &Faults) : Faults(Faults) {}
  world(const world &) = delete;
  world &operator=(const world &) = delete;

  instant getNow() const { return Now; }
  void add(instant At, pending_step Step) {
    Steps.emplace(At, std::move(Step));
  }
  void after(duration Span, pending_step Step) {
    add(Now + Span, std::move(Step));
  }
  /// Faults happen from \p From until \p Until.
  void setWindow(instant From, instant Until) {
    WindowFrom = From;
    WindowUntil = Until;
  }

  /// Carries out the next step. \returns false if there is none, or the source
  /// of faults has ended the run.
  bool advance();
  /// Adds a line to the story.
  void note(const std::string &Line);
  /// \returns the faults so far and what was noted, with times in milliseconds
  /// from the start of the window.
  const std::string &getStory() const { return Story; }
  /// \returns whether the source of faults has ended the run.
  bool wasCut() const { return Cut; }
  std::uint32_t countSteps() const { return Number; }
  /// \returns a digest of the steps to come.
  std::uint64_t digestPending() const;

  /// Digest of all processes, set by the fleet.
  std::function<std::uint64_t()> DigestState;

private:
  bool sufferFault(pending_step &Step);

  fault_source &Faults;
  instant Now{std::chrono::seconds(1'000)};
  instant WindowFrom;
  instant WindowUntil;
  std::multimap<instant, pending_step> Steps;
  std::uint32_t Number = 0; ///< Of the next step at which faults may happen.
  bool Cut = false;
  std::string Story;
};

} // namespace crocuswood::explorer
