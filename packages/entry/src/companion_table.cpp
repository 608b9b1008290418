#include "companion_table.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace crocuswood::entry {

namespace {

// Share of a mean run time after which what was heard of the other entries'
// tasks has lost most of its worth.
constexpr double OthersMemory = 1.0 / 6;
// The same where entries draw endpoints at random: they don't meet at the one
// that seems to have the most room, and slow endpoints stay full for longer.
constexpr double OthersMemoryOfDraws = 1;
constexpr double DefaultRunTime = 100'000;
constexpr double RunTimeShare = 1.0 / 256;
constexpr std::uint32_t RefreshedAtOnce = 4;

// One run among this many moves what is known of a companion's speed.
constexpr double SlownessShare = 1.0 / 8;
// A hung endpoint's runs are stopped after a few times their mean.
constexpr double MaxSlowness = 8;
// Differences of run times up to this are by chance.
constexpr double NoticedSlowness = 1.5;
// A slow companion gets few tasks, so that what is known of it must fade for
// its recovery to be noticed.
constexpr double SlownessMemory = 3'000'000; // Microseconds.

double slownessOf(const companion_record &Record, instant Now) {
  const auto Age = static_cast<double>((Now - Record.SlownessAt).count());
  return 1 + (Record.Slowness - 1) * std::exp(-Age / SlownessMemory);
}

// Slots or cores that an endpoint is offered however cold it is, so that it
// isn't starved.
constexpr double LeastColdSlots = 2;

/// \returns how much longer the endpoint is slow after its start.
duration coldLeft(const companion_record &Record, instant Now) {
  return std::max(duration::zero(), Record.ColdLeft - (Now - Record.ColdAt));
}

double toSlots(std::uint64_t Room) {
  return static_cast<double>(Room) / SlotRoom;
}

double slotsOf(const endpoint_report &Endpoint) {
  return toSlots(capacityOf(Endpoint));
}

/// \returns slots or cores that an endpoint is offered now: all of them, or
/// while it is cold a share that grows evenly with time.
double offeredSlotsOf(const companion_record &Record, instant Now) {
  const double Slots = slotsOf(Record.Endpoint);
  const duration Left = coldLeft(Record, Now);
  if (Left <= duration::zero()) {
    return Slots;
  }
  const double Share = 1 - static_cast<double>(Left.count()) /
                               static_cast<double>(Record.ColdFrom.count());
  // Whole ones, so that the sums by class change seldom and stay exact.
  return std::min(Slots, std::max(LeastColdSlots, std::floor(Slots * Share)));
}

/// \returns whether \p Endpoint has what a task needs while it runs nothing.
bool isLargeEnough(const endpoint_report &Endpoint, const task_needs &Needs) {
  return roomFor(Endpoint, Needs) <= capacityOf(Endpoint) &&
         Needs.MemoryBytes <= Endpoint.MemoryBytes &&
         Needs.Accelerators <= Endpoint.Accelerators;
}

bool runs(const companion_record &Record, class_index Class) {
  return std::binary_search(Record.Runnable.begin(), Record.Runnable.end(),
                            Class);
}

} // namespace

companion_table::companion_table(const class_table &Classes,
                                 const evacuation::state &Evacuation,
                                 std::string Zone, bool FollowsSpeed,
                                 bool NotesNeighbours, bool SlowStart)
    : Classes(Classes), Evacuation(Evacuation), Zone(std::move(Zone)),
      FollowsSpeed(FollowsSpeed), NotesNeighbours(NotesNeighbours),
      SlowStart(SlowStart) {}

companion_index companion_table::find(const std::string &Name) const {
  const auto Place = Names.find(Name);
  return Place == Names.end() ? NoCompanion : Place->second;
}

companion_index companion_table::find(link_id Link) const {
  const auto Place = Links.find(static_cast<std::uint64_t>(Link));
  return Place == Links.end() ? NoCompanion : Place->second;
}

companion_index companion_table::add(const process_id &Id) {
  companion_index Index = static_cast<companion_index>(Records.size());
  if (Free.empty()) {
    Records.emplace_back();
  } else {
    Index = Free.back();
    Free.pop_back();
    Records[Index] = companion_record();
  }
  Records[Index].Id = Id;
  Records[Index].InUse = true;
  Names[Id.Name] = Index;
  return Index;
}

void companion_table::remove(companion_index Index) {
  companion_record &Record = Records[Index];
  if (Record.Link) {
    Links.erase(static_cast<std::uint64_t>(*Record.Link));
  }
  setRunnable(Record, {});
  setOffered(Record, {}, 0);
  Record.Link.reset();
  countOthers(Record);
  Capacity.remove(Index);
  Names.erase(Record.Id.Name);
  std::erase(DirtyList, Index);
  Record = companion_record();
  Free.push_back(Index);
}

void companion_table::attachLink(companion_index Index, link_id Link,
                                 instant Now) {
  companion_record &Record = Records[Index];
  if (Record.Link) {
    Links.erase(static_cast<std::uint64_t>(*Record.Link));
  }
  Record.Link = Link;
  // A stamp counts only towards the process that asked, on its own clock.
  Record.LeaseStamp = duration::zero();
  Record.LeaseAsked = false;
  Links[static_cast<std::uint64_t>(Link)] = Index;
  refreshClasses(Index, Now);
}

void companion_table::detachLink(companion_index Index, instant Now) {
  companion_record &Record = Records[Index];
  if (!Record.Link) {
    return;
  }
  Links.erase(static_cast<std::uint64_t>(*Record.Link));
  Record.Link.reset();
  Record.LinkLostAt = Now;
  refreshClasses(Index, Now);
}

void companion_table::assign(const task_ref &Task, companion_index Index,
                             instant Now) {
  companion_record &Record = Records[Index];
  task &Placed = Task.get();
  const std::uint32_t Room = roomFor(Record.Endpoint, Placed.Needs);
  Placed.State = task_state::Placed;
  Placed.Companion = Index;
  Placed.PlacedAt = Now;
  Placed.Position = static_cast<std::uint32_t>(Record.Outstanding.size());
  Record.Outstanding.push_back(Task);
  if (NotesNeighbours) {
    Record.Marks.push_back(Record.Beside.add(Task.Job->Class, Room, Now));
  }
  Placed.Room = Room;
  Record.Unseen.push_back({.PlacedAt = Now, .Room = Room});
  Record.UnseenRoom += Room;
  Record.OutstandingRoom += Room;
  Record.Suspects += Placed.Suspect ? 1 : 0;
  Record.UsedMemoryBytes += Placed.Needs.MemoryBytes;
  Record.UsedAccelerators += Placed.Needs.Accelerators;
  refreshRoom(Index, Now);
}

void companion_table::release(const task_ref &Task, instant Now) {
  task &Released = Task.get();
  const companion_index Index = Released.Companion;
  companion_record &Record = Records[Index];
  task_ref &Hole = Record.Outstanding[Released.Position];
  Hole = Record.Outstanding.back();
  Hole.get().Position = Released.Position;
  Record.Outstanding.pop_back();
  if (NotesNeighbours) {
    Record.Beside.remove(Task.Job->Class, Released.Room, Now);
    std::swap(Record.Marks[Released.Position], Record.Marks.back());
    Record.Marks.pop_back();
  }
  Record.OutstandingRoom -= Released.Room;
  Record.Suspects -= Released.Suspect ? 1 : 0;
  Released.Suspect = false;
  Record.UsedMemoryBytes -= Released.Needs.MemoryBytes;
  Record.UsedAccelerators -= Released.Needs.Accelerators;
  Released.Companion = NoCompanion;
  refreshRoom(Index, Now);
}

void companion_table::takeLoad(companion_index Index,
                               const companion_load &Load, instant SeenUntil,
                               instant Now) {
  companion_record &Record = Records[Index];
  if (Load.Sequence < Record.Load.Sequence) {
    return;
  }
  Record.Load = Load;
  if (NotesNeighbours) {
    tellNeighbours(Record, Now);
  }

  while (!Record.Unseen.empty() &&
         Record.Unseen.front().PlacedAt <= SeenUntil) {
    Record.UnseenRoom -= Record.Unseen.front().Room;
    Record.Unseen.pop_front();
  }
  const double Own =
      toSlots(Record.OutstandingRoom) - toSlots(Record.UnseenRoom);
  const double Total = toSlots(Load.UsedRoom) + toSlots(Load.QueuedRoom);
  Record.Others = std::max(0.0, Total - std::max(0.0, Own));
  Record.OthersAt = Now;
  countOthers(Record);
  refreshRoom(Index, Now);
}

void companion_table::tellNeighbours(companion_record &Record, instant Now) {
  ToldRooms.clear();
  for (const class_room &Each : Record.Load.ClassRooms) {
    if (ToldRooms.size() >= MaxClassRooms) {
      break;
    }
    if (const auto Class = Classes.find(Each.Class)) {
      ToldRooms.push_back(
          {.Class = *Class,
           .Room = std::min(Each.Room, capacityOf(Record.Endpoint))});
    }
  }
  Record.Beside.takeTold(ToldRooms, Now);
}

void companion_table::countOthers(companion_record &Record) {
  const bool Serves = mayServe(Record);
  SumOthers -= Record.CountedOthers;
  SumSlots -= Record.CountedSlots;
  Record.CountedOthers = Serves ? Record.Others : 0;
  Record.CountedSlots = Serves ? slotsOf(Record.Endpoint) : 0;
  SumOthers += Record.CountedOthers;
  SumSlots += Record.CountedSlots;
}

void companion_table::noteRunTime(duration RunTime) {
  const auto Microseconds = static_cast<double>(RunTime.count());
  const bool IsFirst = MeanRunTime <= 0;
  MeanRunTime += (Microseconds - MeanRunTime) * (IsFirst ? 1.0 : RunTimeShare);
}

void companion_table::noteSlowness(companion_index Index, double Ratio,
                                   instant Now) {
  companion_record &Record = Records[Index];
  if (coldLeft(Record, Now) > duration::zero()) {
    // It says nothing about the time after the start.
    return;
  }
  const double Known = slownessOf(Record, Now);
  Record.Slowness =
      Known + (std::min(Ratio, MaxSlowness) - Known) * SlownessShare;
  Record.SlownessAt = Now;
}

double companion_table::getSlowness(companion_index Index) const {
  return FollowsSpeed ? SpeedScale.relate(Records[Index].Load.Slowness) : 1;
}

capability::candidate
companion_table::makeCandidate(companion_index Index) const {
  const double Slots = std::max(1.0, slotsOf(Records[Index].Endpoint));
  const double Free = static_cast<double>(Capacity.getRoom(Index)) /
                      capacity_index::RoomPerSlot;
  return {.Slowness = getSlowness(Index), .FreeShare = Free / Slots};
}

duration companion_table::expectWait(companion_index Index, std::int32_t Room,
                                     std::uint32_t Priority) const {
  const companion_record &Record = Records[Index];
  const double RunTime = MeanRunTime > 0 ? MeanRunTime : DefaultRunTime;
  const std::int32_t Missing = Room - Capacity.getRoom(Index);
  double Slots = static_cast<double>(Missing) / capacity_index::RoomPerSlot;
  for (const queued_work &Each : Record.Load.QueuedWork) {
    Slots -= Each.Priority > Priority ? toSlots(Each.Room) : 0;
  }
  if (Slots <= 0) {
    return {};
  }
  const double Offered =
      SlowStart ? Record.OfferedSlots : slotsOf(Record.Endpoint);
  return duration(static_cast<std::int64_t>(
      Slots * RunTime * getSlowness(Index) / std::max(1.0, Offered)));
}

void companion_table::refreshSome(instant Now) {
  const auto Count = static_cast<companion_index>(Records.size());
  for (std::uint32_t Each = 0; Each < std::min(Count, RefreshedAtOnce);
       ++Each) {
    NextRefresh = NextRefresh + 1 < Count ? NextRefresh + 1 : 0;
    refreshRoom(NextRefresh, Now);
  }
}

bool companion_table::mayServe(const companion_record &Record) const {
  return Record.InUse && Record.Link &&
         Record.Endpoint.State == endpoint_state::Serving &&
         !Evacuation.isEvacuated(Record.Zone);
}

std::vector<class_index>
companion_table::runnableClasses(const companion_record &Record) const {
  std::vector<class_index> Runnable;
  if (capacityOf(Record.Endpoint) == 0) {
    return Runnable;
  }
  for (const std::string &Pool : Record.Endpoint.Classes) {
    for (const class_index Class : Classes.findPool(Pool)) {
      const class_spec &Spec = Classes[Class].Spec;
      if (Spec.MemoryBytes <= Record.Endpoint.MemoryBytes &&
          Spec.Accelerators <= Record.Endpoint.Accelerators) {
        Runnable.push_back(Class);
      }
    }
  }
  std::sort(Runnable.begin(), Runnable.end());
  Runnable.erase(std::unique(Runnable.begin(), Runnable.end()), Runnable.end());
  return Runnable;
}

double companion_table::estimateTasks(const companion_record &Record,
                                      instant Now) const {
  const double Own = toSlots(Record.OutstandingRoom);
  const double Mean =
      SumSlots > 0 ? SumOthers / SumSlots * slotsOf(Record.Endpoint) : 0;
  const double RunTime = MeanRunTime > 0 ? MeanRunTime : DefaultRunTime;
  const auto Age = static_cast<double>((Now - Record.OthersAt).count());
  const double Worth = std::exp(
      -Age / (RunTime * (FollowsSpeed ? OthersMemoryOfDraws : OthersMemory)));
  return Own + Mean + (Record.Others - Mean) * Worth;
}

std::int32_t companion_table::roomOf(const companion_record &Record,
                                     instant Now) const {
  double Slots = offeredSlotsOf(Record, Now) - estimateTasks(Record, Now);
  if (Slots <= 0 && coldLeft(Record, Now) > duration::zero()) {
    // With a backlog, policies would queue more than the offer here.
    return capacity_index::MinRoom;
  }
  const double Slowness = FollowsSpeed ? 1 : slownessOf(Record, Now);
  if (Slowness > NoticedSlowness && Slots > 0) {
    // As much of the free room as tasks there get done in the usual time.
    Slots /= Slowness;
  }
  const auto Room = static_cast<std::int32_t>(
      std::floor(Slots * capacity_index::RoomPerSlot));
  if (!Record.Allowed) {
    return Room;
  }
  const std::int32_t Allowed =
      (static_cast<std::int32_t>(*Record.Allowed) -
       static_cast<std::int32_t>(Record.Outstanding.size())) *
      capacity_index::RoomPerSlot;
  if (Record.SetAside && Allowed > 0) {
    // A probe must go out although others have more room.
    return capacity_index::MaxRoom;
  }
  // Without allowance left, no policy may queue here either.
  return Allowed > 0 ? std::min(Room, Allowed) : capacity_index::MinRoom;
}

void companion_table::noteCold(companion_record &Record, instant Now) const {
  const duration Reported =
      SlowStart ? Record.Endpoint.ColdLeft : duration::zero();
  if (Reported == Record.ColdLeft) {
    return;
  }
  // A greater one than before is that of another start.
  if (Reported > Record.ColdLeft) {
    Record.ColdFrom = Reported;
  }
  Record.ColdLeft = Reported;
  Record.ColdAt = Now;
}

void companion_table::refreshClasses(companion_index Index, instant Now) {
  companion_record &Record = Records[Index];
  ++OfferChanges;
  noteCold(Record, Now);
  countOthers(Record);
  if (!mayServe(Record)) {
    if (!Record.Runnable.empty()) {
      Record.ServedAt = Now;
    }
    setRunnable(Record, {});
    setOffered(Record, {}, 0);
    Capacity.remove(Index);
    return;
  }
  setRunnable(Record, runnableClasses(Record));
  std::vector<class_index> Allowed;
  std::set_difference(Record.Runnable.begin(), Record.Runnable.end(),
                      Record.Barred.begin(), Record.Barred.end(),
                      std::back_inserter(Allowed));
  Capacity.set(Index, Allowed, Record.Zone == Zone, roomOf(Record, Now));
  setOffered(Record, std::move(Allowed), offeredSlotsOf(Record, Now));
}

void companion_table::setRunnable(companion_record &Record,
                                  std::vector<class_index> Runnable) {
  Runners.resize(std::max<std::size_t>(Runners.size(), Classes.getCount()));
  for (const class_index Class : Record.Runnable) {
    --Runners[Class];
  }
  Record.Runnable = std::move(Runnable);
  for (const class_index Class : Record.Runnable) {
    ++Runners[Class];
  }
}

std::uint32_t companion_table::countRunners(class_index Class) const {
  return Class < Runners.size() ? Runners[Class] : 0;
}

void companion_table::refreshAllClasses(instant Now) {
  for (const auto &[Name, Index] : Names) {
    refreshClasses(Index, Now);
  }
}

void companion_table::refreshRoom(companion_index Index, instant Now) {
  Capacity.setRoom(Index, roomOf(Records[Index], Now));
}

bool companion_table::hasNeeds(companion_index Index,
                               const task_needs &Needs) const {
  const companion_record &Record = Records[Index];
  return roomFor(Record.Endpoint, Needs) <= capacityOf(Record.Endpoint) &&
         Record.UsedMemoryBytes + Needs.MemoryBytes <=
             Record.Endpoint.MemoryBytes &&
         Record.UsedAccelerators + Needs.Accelerators <=
             Record.Endpoint.Accelerators;
}

bool companion_table::mayFit(class_index Class, const task_needs &Needs) const {
  return countRunners(Class) == 0 ||
         std::any_of(Records.begin(), Records.end(),
                     [&](const companion_record &Record) {
                       return runs(Record, Class) &&
                              isLargeEnough(Record.Endpoint, Needs);
                     });
}

bool companion_table::hasUntried(const job &Job, std::uint32_t Index) const {
  const task_needs &Needs = Job.Tasks[Index].Needs;
  for (companion_index Each = 0; Each < Records.size(); ++Each) {
    const companion_record &Record = Records[Each];
    if (!runs(Record, Job.Class) || !isLargeEnough(Record.Endpoint, Needs)) {
      continue;
    }
    const bool WasTried = std::any_of(
        Job.GivenBack.begin(), Job.GivenBack.end(), [&](const give_back &Back) {
          return Back.isOf(Index, Each, Record.Id.Incarnation);
        });
    if (!WasTried) {
      return true;
    }
  }
  return false;
}

std::uint32_t companion_table::countSlots(class_index Class) const {
  return Class < OfferedSlots.size()
             ? static_cast<std::uint32_t>(OfferedSlots[Class])
             : 0;
}

void companion_table::setOffered(companion_record &Record,
                                 std::vector<class_index> Offered,
                                 double Slots) {
  OfferedSlots.resize(
      std::max<std::size_t>(OfferedSlots.size(), Classes.getCount()));
  for (const class_index Class : Record.Offered) {
    OfferedSlots[Class] -= Record.OfferedSlots;
  }
  Record.Offered = std::move(Offered);
  Record.OfferedSlots = Slots;
  for (const class_index Class : Record.Offered) {
    OfferedSlots[Class] += Record.OfferedSlots;
  }
}

void companion_table::refreshOffered(companion_record &Record, instant Now) {
  const double Slots = offeredSlotsOf(Record, Now);
  if (Slots != Record.OfferedSlots) {
    setOffered(Record, Record.Offered, Slots);
  }
}

bool companion_table::isCold(companion_index Index, instant Now) const {
  const companion_record &Record = Records[Index];
  return mayServe(Record) && coldLeft(Record, Now) > duration::zero();
}

void companion_table::refreshCold(instant Now) {
  if (!SlowStart) {
    return;
  }
  for (const auto &[Name, Index] : Names) {
    companion_record &Record = Records[Index];
    if (!Record.Offered.empty()) {
      refreshOffered(Record, Now);
    }
  }
}

void companion_table::refreshSums(std::uint32_t Known) {
  std::uint32_t Entries = 0;
  std::vector<std::uint32_t> Slownesses;
  SumOthers = 0;
  SumSlots = 0;
  for (const auto &[Name, Index] : Names) {
    const companion_record &Record = Records[Index];
    SumOthers += Record.CountedOthers;
    SumSlots += Record.CountedSlots;
    if (Record.Link && FollowsSpeed) {
      Slownesses.push_back(Record.Load.Slowness);
    }
    if (Record.Link) {
      Entries = std::max(Entries, Record.Entries);
    }
  }
  SpeedScale.update(Slownesses);
  LiveEntries = std::max(1U, Entries > 0 ? Entries : Known);
}

outbox &companion_table::openOutbox(companion_index Index) {
  companion_record &Record = Records[Index];
  if (!Record.Dirty) {
    Record.Dirty = true;
    DirtyList.push_back(Index);
  }
  return Record.Outbox;
}

std::vector<companion_index> companion_table::takeDirty() {
  for (const companion_index Index : DirtyList) {
    Records[Index].Dirty = false;
  }
  return std::exchange(DirtyList, {});
}

} // namespace crocuswood::entry
