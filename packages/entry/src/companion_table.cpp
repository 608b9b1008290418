#include "companion_table.h"

#include <algorithm>
#include <utility>

namespace crocuswood::entry {

companion_table::companion_table(const class_table &Classes, std::string Zone)
    : Classes(Classes), Zone(std::move(Zone)) {}

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
  Capacity.remove(Index);
  Names.erase(Record.Id.Name);
  std::erase(DirtyList, Index);
  Record = companion_record();
  Free.push_back(Index);
}

void companion_table::attachLink(companion_index Index, link_id Link) {
  companion_record &Record = Records[Index];
  if (Record.Link) {
    Links.erase(static_cast<std::uint64_t>(*Record.Link));
  }
  Record.Link = Link;
  Links[static_cast<std::uint64_t>(Link)] = Index;
  refreshClasses(Index);
}

void companion_table::detachLink(companion_index Index, instant Now) {
  companion_record &Record = Records[Index];
  if (!Record.Link) {
    return;
  }
  Links.erase(static_cast<std::uint64_t>(*Record.Link));
  Record.Link.reset();
  Record.LinkLostAt = Now;
  refreshClasses(Index);
}

void companion_table::assign(const task_ref &Task, companion_index Index,
                             instant Now) {
  companion_record &Record = Records[Index];
  task &Placed = Task.get();
  const class_spec &Spec = Classes[Task.Job->Class].Spec;
  Placed.State = task_state::Placed;
  Placed.Companion = Index;
  Placed.PlacedAt = Now;
  Placed.Position = static_cast<std::uint32_t>(Record.Outstanding.size());
  Record.Outstanding.push_back(Task);
  Record.Unseen.push_back(Now);
  Record.UsedMemoryBytes += Spec.MemoryBytes;
  Record.UsedAccelerators += Spec.Accelerators;
  refreshRoom(Index);
}

void companion_table::release(const task_ref &Task) {
  task &Released = Task.get();
  const companion_index Index = Released.Companion;
  companion_record &Record = Records[Index];
  const class_spec &Spec = Classes[Task.Job->Class].Spec;
  task_ref &Hole = Record.Outstanding[Released.Position];
  Hole = Record.Outstanding.back();
  Hole.get().Position = Released.Position;
  Record.Outstanding.pop_back();
  Record.UsedMemoryBytes -= std::min(Record.UsedMemoryBytes, Spec.MemoryBytes);
  Record.UsedAccelerators -=
      std::min(Record.UsedAccelerators, Spec.Accelerators);
  Released.Companion = NoCompanion;
  refreshRoom(Index);
}

void companion_table::takeLoad(companion_index Index,
                               const companion_load &Load, instant SeenUntil) {
  companion_record &Record = Records[Index];
  if (Load.Sequence < Record.Load.Sequence) {
    return;
  }
  Record.Load = Load;

  while (!Record.Unseen.empty() && Record.Unseen.front() <= SeenUntil) {
    Record.Unseen.pop_front();
  }
  refreshRoom(Index);
}

bool companion_table::mayServe(const companion_record &Record) const {
  return Record.InUse && Record.Link &&
         Record.Endpoint.State == endpoint_state::Serving;
}

std::vector<class_index>
companion_table::runnableClasses(const companion_record &Record) const {
  std::vector<class_index> Runnable;
  for (const std::string &Name : Record.Endpoint.Classes) {
    const auto Class = Classes.find(Name);
    if (!Class) {
      continue;
    }
    const class_spec &Spec = Classes[*Class].Spec;
    if (Spec.MemoryBytes <= Record.Endpoint.MemoryBytes &&
        Spec.Accelerators <= Record.Endpoint.Accelerators) {
      Runnable.push_back(*Class);
    }
  }
  std::sort(Runnable.begin(), Runnable.end());
  Runnable.erase(std::unique(Runnable.begin(), Runnable.end()), Runnable.end());
  return Runnable;
}

std::uint32_t companion_table::estimateTasks(companion_index Index) const {
  const companion_record &Record = Records[Index];
  const auto Own = static_cast<std::uint32_t>(Record.Outstanding.size());
  const auto Unseen = static_cast<std::uint32_t>(Record.Unseen.size());
  return std::max(Own, Record.Load.Running + Record.Load.Queued + Unseen);
}

std::int32_t companion_table::roomOf(const companion_record &Record) const {
  const auto Index = static_cast<companion_index>(&Record - Records.data());
  const auto Slots = static_cast<std::int32_t>(Record.Endpoint.Slots);
  const std::int32_t Room =
      Slots - static_cast<std::int32_t>(estimateTasks(Index));
  if (!Record.Allowed) {
    return Room;
  }
  const auto Allowed = static_cast<std::int32_t>(*Record.Allowed) -
                       static_cast<std::int32_t>(Record.Outstanding.size());
  if (Record.SetAside && Allowed > 0) {
    // A probe must go out although others have more room.
    return capacity_index::MaxRoom;
  }
  // Without allowance left, no policy may queue here either.
  return Allowed > 0 ? std::min(Room, Allowed) : capacity_index::MinRoom;
}

void companion_table::refreshClasses(companion_index Index) {
  companion_record &Record = Records[Index];
  if (!mayServe(Record)) {
    setRunnable(Record, {});
    Capacity.remove(Index);
    return;
  }
  setRunnable(Record, runnableClasses(Record));
  std::vector<class_index> Allowed;
  std::set_difference(Record.Runnable.begin(), Record.Runnable.end(),
                      Record.Barred.begin(), Record.Barred.end(),
                      std::back_inserter(Allowed));
  Capacity.set(Index, Allowed, Record.Zone == Zone, roomOf(Record));
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

void companion_table::refreshAllClasses() {
  for (const auto &[Name, Index] : Names) {
    refreshClasses(Index);
  }
}

void companion_table::refreshRoom(companion_index Index) {
  Capacity.setRoom(Index, roomOf(Records[Index]));
}

bool companion_table::hasNeeds(companion_index Index, class_index Class) const {
  const companion_record &Record = Records[Index];
  const class_spec &Spec = Classes[Class].Spec;
  return Record.UsedMemoryBytes + Spec.MemoryBytes <=
             Record.Endpoint.MemoryBytes &&
         Record.UsedAccelerators + Spec.Accelerators <=
             Record.Endpoint.Accelerators;
}

std::uint32_t companion_table::countSlots(class_index Class) const {
  std::uint32_t Slots = 0;
  Capacity.forEach(Class, [&](companion_index Index) {
    Slots += Records[Index].Endpoint.Slots;
  });
  return Slots;
}

void companion_table::refreshEntries() {
  std::uint32_t Entries = 1;
  for (const auto &[Name, Index] : Names) {
    if (Records[Index].Link) {
      Entries = std::max(Entries, Records[Index].Entries);
    }
  }
  LiveEntries = Entries;
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
