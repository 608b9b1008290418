/// \file
/// Public header of the package interference: which classes of tasks slow each
/// other down on one endpoint. No sockets, clocks, threads, random source or
/// logging.
#pragma once

#include <crocuswood/model.h>

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>
#include <vector>

namespace crocuswood::interference {

using class_number = std::uint32_t;
using endpoint_number = std::uint32_t;

/// Neighbour classes that are kept for one victim class.
constexpr std::size_t MaxNeighbours = 8;
/// Victim classes that are kept.
constexpr std::size_t MaxVictims = 32;
/// Pairs that are kept; the least recently used go first.
constexpr std::size_t MaxPairs = MaxVictims * MaxNeighbours;
/// Pairs of a victim class and an endpoint whose usual run times are kept.
constexpr std::size_t MaxPlaces = 2'048;
/// Slowdown at full share from which a harm is believed.
constexpr double HarmThreshold = 0.10;
/// A belief ends once the lower bound of the slowdown falls below this.
constexpr double HarmEndThreshold = 0.03;
/// The bounds of an effect are this many standard errors away from it.
constexpr double BoundErrors = 3.5;
/// The same for the bound that ends a belief: the bounds differ, so that chance
/// doesn't start and end a belief in turns.
constexpr double EndErrors = 2;

/// Tasks of a class beside a task.
struct neighbour {
  class_number Class = 0;
  double Share = 0; ///< Of the endpoint's capacity.

  friend bool operator==(const neighbour &, const neighbour &) = default;
};

/// The end of a task, and what ran beside it.
struct task_run {
  class_number Class = 0;
  endpoint_number Endpoint = 0;
  /// Run time against the expected one on an endpoint of this speed.
  double Ratio = 1;
  std::vector<neighbour> Neighbours;
};

/// An expected slowdown.
struct slowdown {
  double Factor = 1; ///< Run time against that without the neighbours.
  double Lower = 1;  ///< Confidence bounds of the factor.
  double Upper = 1;
};

/// What is known of a pair, at a share of 1 of the neighbour.
struct pair_effect {
  class_number Victim = 0;
  class_number Neighbour = 0;
  slowdown Slowdown;
  double Runs = 0; ///< Runs of the victim that still count.
  bool Believed = false;
};

/// Learns the effect of every class on the run times of every other.
///
/// For each victim class, the logarithm of the run time is regressed on the
/// shares of the neighbours. Both are taken as differences from their recent
/// mean on the same endpoint, so that the endpoint's own speed, also while it
/// is cold or in a slow spell, has no part in it. What all neighbours have in
/// common is load and no harm of a pair: the effect of a pair is the excess
/// over the median effect on the victim. Old runs lose weight with newer ones
/// and with time.
class model {
public:
  /// Takes the end of a task. Appends the pairs whose belief has changed to
  /// \p Changes.
  void learn(const task_run &Run, instant Now,
             std::vector<pair_effect> &Changes);
  /// Lets what is known fade while no tasks end. Meant for a call about once
  /// in a second.
  void fade(instant Now, std::vector<pair_effect> &Changes);

  /// \returns the expected slowdown of a task of \p Class, from all that is
  /// known, whether it is believed or not.
  slowdown expect(class_number Class,
                  const std::vector<neighbour> &Neighbours) const;
  /// \returns the believed harm of a task of \p Class beside \p Neighbours and
  /// theirs beside it, as a sum of logarithms of slowdowns weighted by share.
  /// It is 0 if nothing is believed.
  double getHarm(class_number Class,
                 const std::vector<neighbour> &Neighbours) const;
  /// \returns the slowdown of a task of \p Class beside \p Neighbours by the
  /// believed pairs alone; 1 if nothing is believed.
  double getSlowdown(class_number Class,
                     const std::vector<neighbour> &Neighbours) const;
  bool believesAny() const { return !Believed.empty(); }
  std::uint32_t countBelieved() const {
    return static_cast<std::uint32_t>(Believed.size());
  }
  /// \returns all pairs that are kept, ordered by victim and neighbour.
  std::vector<pair_effect> list() const;

private:
  static constexpr std::size_t Size = MaxNeighbours;
  using row = std::array<double, Size>;
  using matrix = std::array<row, Size>;

  struct column {
    class_number Class = 0;
    instant UsedAt;
    std::uint32_t Life = 0; ///< Grows when another class takes the column.
    bool InUse = false;
    bool Believed = false;
  };
  struct victim {
    std::array<column, MaxNeighbours> Columns;
    matrix Products{}; ///< Of the regressors.
    row Responses{};   ///< Of the regressors with the logarithm.
    row Solution{};    ///< Effects of the neighbours, load included.
    row Effects{};     ///< The same without that of load.
    row Errors{};      ///< Standard errors of the effects.
    double Weight = 0; ///< Runs that still count.
    double Variance = 0;
    std::uint32_t Unsolved = 0;
    instant UsedAt;
  };
  struct place {
    double Log = 0; ///< Recent means.
    row Shares{};
    std::array<std::uint32_t, Size> Lives{}; ///< Of the columns of the shares.
    std::uint32_t Runs = 0;
    std::list<std::pair<class_number, endpoint_number>>::iterator Use;
  };

  victim &findVictim(class_number Class, instant Now,
                     std::vector<pair_effect> &Changes);
  place &findPlace(class_number Class, endpoint_number Endpoint);
  void removeVictim(std::map<class_number, victim>::iterator Place,
                    std::vector<pair_effect> &Changes);
  std::size_t findColumn(class_number Class, victim &Victim,
                         class_number Neighbour, instant Now,
                         std::vector<pair_effect> &Changes);
  void clearColumn(class_number Class, victim &Victim, std::size_t Index,
                   std::vector<pair_effect> &Changes);
  static void scale(victim &Victim, double Factor);
  static void solve(victim &Victim);
  static std::size_t findUsual(const victim &Victim);
  void judge(class_number Class, victim &Victim,
             std::vector<pair_effect> &Changes);
  static pair_effect describe(class_number Class, const victim &Victim,
                              std::size_t Index);

  std::map<class_number, victim> Victims;
  std::map<std::pair<class_number, endpoint_number>, place> Places;
  /// Least recently used first.
  std::list<std::pair<class_number, endpoint_number>> PlaceUses;
  /// Logarithms of the believed slowdowns, by victim and neighbour.
  std::map<std::pair<class_number, class_number>, double> Believed;
};

/// Counts tasks by their slowdown.
struct slowdown_histogram {
  /// Upper bounds, inclusive.
  static constexpr std::array<double, 6> Bounds = {1, 1.1, 1.25, 1.5, 2, 3};
  /// By bound, not cumulative; the last is beyond all bounds.
  std::array<std::uint64_t, Bounds.size() + 1> Counts{};
  double Sum = 0;

  void add(double Slowdown);
};

/// Room of a class that a companion has told.
struct told_room {
  class_number Class = 0;
  std::uint32_t Room = 0;
};

/// Classes on one endpoint over time. From it follows what ran beside a task
/// on the mean over its whole stay.
///
/// A class takes the room that the companion has told, but no less than that of
/// the own tasks, since what is told is older. Without anything told only the
/// own tasks count.
class presence {
public:
  /// Share of the capacity by class, integrated over time.
  using mark = std::vector<std::pair<class_number, double>>;

  /// A task of \p Class with \p Room has come. \returns the mark to be given
  /// back when it leaves.
  mark add(class_number Class, std::uint32_t Room, instant Now);
  void remove(class_number Class, std::uint32_t Room, instant Now);
  /// Takes the rooms of all tasks on the endpoint, or nothing if its companion
  /// doesn't tell them. Those after the first MaxNeighbours are ignored.
  void takeTold(const std::vector<told_room> &Told, instant Now);
  /// \returns the mean shares since \p Since, when \p Mark was taken, without
  /// the \p Room of a task of \p Class itself. To be called before remove().
  std::vector<neighbour> getMean(class_number Class, std::uint32_t Room,
                                 const mark &Mark, instant Since, instant Now,
                                 std::uint64_t Capacity) const;
  /// \returns the shares right now.
  void getShares(std::uint64_t Capacity, std::vector<neighbour> &Shares) const;

private:
  struct part {
    class_number Class = 0;
    std::uint64_t Room = 0; ///< Of own tasks.
    std::uint64_t Told = 0; ///< Of all tasks, as the companion says.
    double RoomTime = 0;    ///< Room by microseconds.

    std::uint64_t getRoom() const { return std::max(Room, Told); }
  };

  void advance(instant Now);
  /// \returns the part of \p Class, a new one if there is room for it, or null.
  part *findPart(class_number Class);

  std::vector<part> Parts; ///< At most MaxNeighbours.
  instant At;
};

} // namespace crocuswood::interference
