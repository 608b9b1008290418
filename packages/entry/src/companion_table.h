/// \file
/// Companions by name and by link, and the tasks on them.
#pragma once

#include "capacity_index.h"
#include "class_table.h"
#include "companion_record.h"

#include <crocuswood/capability.h>
#include <crocuswood/entry.h>

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace crocuswood::entry {

/// Owns what is known of every companion and keeps the capacity index in step.
class companion_table {
public:
  /// Companions in zones that \p Evacuation names don't count as serving;
  /// refreshAllClasses() follows each change of it.
  companion_table(const class_table &Classes,
                  const evacuation::state &Evacuation, std::string Zone,
                  bool FollowsSpeed, bool NotesNeighbours, bool SlowStart);

  companion_record &operator[](companion_index Index) { return Records[Index]; }
  const companion_record &operator[](companion_index Index) const {
    return Records[Index];
  }
  const capacity_index &getCapacity() const { return Capacity; }
  /// Companions by name.
  const std::map<std::string, companion_index> &getNames() const {
    return Names;
  }

  /// \returns NoCompanion if nobody of this name is known.
  companion_index find(const std::string &Name) const;
  /// \returns NoCompanion if the link is not that of a known companion.
  companion_index find(link_id Link) const;
  /// Adds a companion that is not known yet.
  companion_index add(const process_id &Id);
  /// Forgets a companion without outstanding tasks.
  void remove(companion_index Index);

  void attachLink(companion_index Index, link_id Link, instant Now);
  void detachLink(companion_index Index, instant Now);

  /// Takes the run time of a task that has ended, of any class.
  void noteRunTime(duration RunTime);
  /// Learns how slow a companion is. \p Ratio is a run time against the mean of
  /// its class.
  void noteSlowness(companion_index Index, double Ratio, instant Now);
  /// \returns how slow a companion is against the mean of all; 1 unless the
  /// speed of endpoints is followed.
  double getSlowness(companion_index Index) const;
  bool followsSpeed() const { return FollowsSpeed; }
  /// \returns the companion as a place for a task.
  capability::candidate makeCandidate(companion_index Index) const;
  /// \returns how long a task that needs \p Room, in parts of a slot, would
  /// wait on the companion for others to end. Queued tasks that are less urgent
  /// than \p Priority let it go first.
  duration expectWait(companion_index Index, std::int32_t Room,
                      std::uint32_t Priority) const;
  /// Brings the room of the next few companions up to date, since what was
  /// heard of the other entries' tasks is worth less with time.
  void refreshSome(instant Now);

  /// Notes that \p Task is on the companion from now on.
  void assign(const task_ref &Task, companion_index Index, instant Now);
  /// Notes that \p Task is no longer on its companion.
  void release(const task_ref &Task, instant Now);
  /// Takes a load that the companion has told. Placements written up to
  /// \p SeenUntil are counted in it.
  void takeLoad(companion_index Index, const companion_load &Load,
                instant SeenUntil, instant Now);

  /// Recomputes which classes the companion can run, after a change of its
  /// link, its endpoint, its standing or the configuration.
  void refreshClasses(companion_index Index, instant Now);
  void refreshAllClasses(instant Now);
  /// Recomputes the room of the companion.
  void refreshRoom(companion_index Index, instant Now);

  /// \returns whether the companion has what another task needs.
  bool hasNeeds(companion_index Index, const task_needs &Needs) const;
  /// \returns slots or cores that the companion has in use or promised by the
  /// entry's estimate: for its own tasks, and for those of the other entries as
  /// last heard. What was heard long ago gives way to the mean over all
  /// companions.
  double estimateTasks(const companion_record &Record, instant Now) const;
  /// \returns linked and serving companions that can run \p Class, those
  /// barred from it included.
  std::uint32_t countRunners(class_index Class) const;
  /// \returns whether a companion that can run \p Class has what a task needs
  /// while it runs nothing, or none can run the class at all.
  bool mayFit(class_index Class, const task_needs &Needs) const;
  /// \returns a number that grows when any companion may offer more or less.
  std::uint64_t getOfferChanges() const { return OfferChanges; }
  /// \returns whether any companion that can run the class of \p Job, and is
  /// large enough, has not given back its task \p Index yet.
  bool hasUntried(const job &Job, std::uint32_t Index) const;
  /// \returns slots or cores of the companions that may be given \p Class; of
  /// cold ones, those offered as of the last refreshCold().
  std::uint32_t countSlots(class_index Class) const;
  /// \returns slots or cores of all companions that serve.
  double countServingSlots() const { return SumSlots; }
  /// \returns whether the companion is linked, serves and is in no evacuated
  /// zone.
  bool mayServe(const companion_record &Record) const;

  /// \returns whether the companion serves and is slow after its start.
  bool isCold(companion_index Index, instant Now) const;
  /// Counts what cold companions are offered by now, for countSlots().
  void refreshCold(instant Now);

  /// Counts the live entries and the other entries' tasks anew from what the
  /// companions have told.
  /// \p Known is the length of the list of entries; it counts until a companion
  /// has told.
  void refreshSums(std::uint32_t Known);
  /// \returns entries that share the companions, this one included.
  std::uint32_t countEntries() const { return LiveEntries; }

  /// Puts the companion into the list of those to flush.
  outbox &openOutbox(companion_index Index);
  std::vector<companion_index> takeDirty();

private:
  std::vector<class_index> runnableClasses(const companion_record &R) const;
  void setRunnable(companion_record &Record, std::vector<class_index> Runnable);
  void setOffered(companion_record &Record, std::vector<class_index> Offered,
                  double Slots);
  std::int32_t roomOf(const companion_record &Record, instant Now) const;
  void countOthers(companion_record &Record);
  void noteCold(companion_record &Record, instant Now) const;
  void refreshOffered(companion_record &Record, instant Now);
  /// Takes the rooms by class of the load last heard.
  void tellNeighbours(companion_record &Record, instant Now);

  const class_table &Classes;
  const evacuation::state &Evacuation;
  std::string Zone;
  bool FollowsSpeed = false;
  bool NotesNeighbours = false;
  bool SlowStart = false;
  capability::speed_scale SpeedScale;
  std::vector<companion_record> Records;
  std::vector<companion_index> Free;
  std::map<std::string, companion_index> Names;
  std::unordered_map<std::uint64_t, companion_index> Links;
  capacity_index Capacity;
  std::vector<companion_index> DirtyList;
  std::vector<std::uint32_t> Runners; ///< By class.
  std::vector<double> OfferedSlots;   ///< By class, over all companions.
  std::uint64_t OfferChanges = 0;
  std::uint32_t LiveEntries = 1;
  double SumOthers = 0; ///< Of all serving companions.
  double SumSlots = 0;
  double MeanRunTime = 0; ///< In microseconds, over all classes.
  companion_index NextRefresh = 0;
  std::vector<interference::told_room> ToldRooms; ///< Kept for its memory.
};

} // namespace crocuswood::entry
