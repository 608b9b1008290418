/// \file
/// Public header of the package overload: who gives way while more is asked
/// than can be done, and when refused callers should come back. No sockets,
/// clocks, threads, random source or logging.
#pragma once

#include <crocuswood/model.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

namespace crocuswood::overload {

/// Bounds of fair_shares.
struct share_options {
  /// Work loses its weight with this time, so that a share follows a burst and
  /// is forgotten soon after it.
  duration Memory = std::chrono::seconds(2);
  /// Flows that are followed; the one that has asked least lately goes first.
  std::size_t MaxFlows = 1'024;
  /// A flow may exceed its part by this factor before it gives way, since short
  /// spans of equal flows differ by chance.
  double Excess = 1.5;

  friend bool operator==(const share_options &,
                         const share_options &) = default;
};

/// Follows how much work each flow asks for, and how much each may take if all
/// share alike.
///
/// A flow is what shares are counted by: an organisation. Nothing is held back
/// while nobody has to give way, so the sharing is work conserving: the caller
/// asks only in an overload.
class fair_shares {
public:
  explicit fair_shares(share_options Options = {}) : Options(Options) {}

  /// \p Flow asks for \p Work (run time over all slots).
  void note(instant Now, const std::string &Flow, duration Work);
  /// \returns by how much \p Flow exceeds an equal part of all that was asked
  /// for lately, as a factor: 1 or less if it doesn't.
  double getExcess(instant Now, const std::string &Flow) const;
  /// \returns the part of its tolerance that a job of \p Flow keeps, 0 to 1.
  double getTolerance(instant Now, const std::string &Flow) const;
  std::size_t countFlows() const { return Flows.size(); }

private:
  struct flow {
    double Work = 0; ///< Slot seconds, with the weight of the time since.
    instant At;
  };

  double weigh(const flow &Flow, instant Now) const;
  /// Drops flows that no longer weigh anything, and the lightest over MaxFlows.
  void limit(instant Now);

  share_options Options;
  std::map<std::string, flow> Flows;
  flow Total;        ///< Of all flows together.
  instant LimitedAt; ///< When limit() last went through the flows.
};

/// Bounds of return_schedule.
struct return_options {
  /// Share of the room that is promised to returning callers. The rest is left
  /// for new ones.
  double Share = 0.5;
  duration Longest = std::chrono::seconds(30); ///< No return is later.
  /// A caller that returns this much too early still counts as told, since
  /// Retry-After has whole seconds.
  duration Early = std::chrono::seconds(1);
  /// A promise is kept for this long after its time.
  duration Kept = std::chrono::seconds(10);
  std::size_t MaxPromises = 4'096; ///< The oldest goes first.

  friend bool operator==(const return_options &,
                         const return_options &) = default;
};

/// Tells refused callers when to come back, one after the other at the rate at
/// which there is room, so that their returns don't meet. A caller that comes
/// back as told goes before those that were not refused.
class return_schedule {
public:
  explicit return_schedule(return_options Options = {}) : Options(Options) {}

  /// \returns after which time a caller refused now should return. \p Wait is
  /// when there is room at the earliest, \p Work what its job takes, \p Slots
  /// the slots that serve it. \p Caller may be empty: it is then not known
  /// again.
  duration book(instant Now, const std::string &Caller, duration Wait,
                duration Work, double Slots);
  /// \returns whether \p Caller was told to come back about now. A promise
  /// counts once.
  bool redeem(instant Now, const std::string &Caller);
  std::size_t countPromises() const { return Promises.size(); }

private:
  void forget(instant Now);

  return_options Options;
  instant NextReturn; ///< The earliest time that isn't promised.
  std::map<std::string, instant> Promises;
  std::set<std::pair<instant, std::string>> Order; ///< Of the promises.
};

} // namespace crocuswood::overload
