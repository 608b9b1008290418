#include "waiting_queue.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

std::uint32_t freshTasks(const job &Job) {
  return static_cast<std::uint32_t>(Job.Tasks.size()) - Job.NextFresh;
}

} // namespace

waiting_queue::key waiting_queue::keyOf(job &Job) {
  return {.Start = Job.ShareSince - Job.ExpectedRunTime,
          .Sequence = Job.Id.Sequence,
          .Job = &Job};
}

waiting_queue::lane &waiting_queue::laneOf(const job &Job) {
  if (Job.Class >= Lanes.size()) {
    Lanes.resize(Job.Class + 1);
  }
  return Lanes[Job.Class];
}

void waiting_queue::insert(job &Job) {
  lane &Lane = laneOf(Job);
  (Job.Late ? Lane.Late : Lane.OnTime).insert(keyOf(Job));
  Occupied.insert(Job.Class);
  Job.Queued = true;
}

void waiting_queue::erase(job &Job) {
  lane &Lane = laneOf(Job);
  (Job.Late ? Lane.Late : Lane.OnTime).erase(keyOf(Job));
  if (Lane.OnTime.empty() && Lane.Late.empty()) {
    Occupied.erase(Job.Class);
  }
  Job.Queued = false;
}

void waiting_queue::account(const job &Job, std::int32_t Sign) {
  lane &Lane = laneOf(Job);
  const std::uint32_t Fresh = freshTasks(Job);
  const std::uint32_t Change = Sign < 0 ? 0U - Fresh : Fresh;
  Count += Change;
  Lane.Count += Change;
  if (Job.Late) {
    LateWork += Job.ExpectedWork * static_cast<std::int64_t>(Fresh) * Sign;
    return;
  }
  const std::uint32_t Share = std::min(Job.ShareLeft, Fresh);
  Lane.Work += Job.ExpectedWork * static_cast<std::int64_t>(Share) * Sign;
}

void waiting_queue::add(job &Job, duration ExpectedRunTime) {
  if (Job.ShareLeft == 0) {
    Job.ShareSince = Job.Arrival;
    Job.ShareLeft = ShareTasks;
  }
  Job.ExpectedRunTime = ExpectedRunTime;
  const std::uint32_t MilliCores = Job.Tasks.front().Needs.MilliCores;
  const std::uint32_t Room = MilliCores > 0 ? MilliCores : SlotRoom;
  Job.ExpectedWork =
      ExpectedRunTime * static_cast<std::int64_t>(Room) / SlotRoom;
  insert(Job);
  account(Job, 1);
}

void waiting_queue::park(job &Job) {
  erase(Job);
  account(Job, -1);
}

void waiting_queue::makeLate(job &Job) {
  park(Job);
  Job.Late = true;
  add(Job, Job.ExpectedRunTime);
}

void waiting_queue::makeUrgent(job &Job) {
  park(Job);
  Job.Late = false;
  Job.ShareSince = Job.Arrival;
  // All that is left belongs to one share.
  Job.ShareLeft = std::max(1U, freshTasks(Job));
  add(Job, Job.ExpectedRunTime);
}

void waiting_queue::remove(job &Job) {
  if (Job.Queued) {
    park(Job);
  }
  Job.NextFresh = static_cast<std::uint32_t>(Job.Tasks.size());
}

std::uint32_t waiting_queue::take(job &Job, instant Now) {
  const std::uint32_t Index = Job.NextFresh;
  account(Job, -1);
  (Job.Late ? LateTaken : laneOf(Job).Taken) += Job.ExpectedWork;
  ++Job.NextFresh;
  --Job.ShareLeft;
  const bool IsEmpty = freshTasks(Job) == 0;
  const bool StartsShare = !IsEmpty && Job.ShareLeft == 0;
  if (IsEmpty || StartsShare) {
    erase(Job);
  }
  if (StartsShare) {
    Job.ShareSince = Now;
    Job.ShareLeft = ShareTasks;
    insert(Job);
  }
  account(Job, 1);
  return Index;
}

std::optional<waiting_front> waiting_queue::getFront(class_index Class,
                                                     duration Target) const {
  if (Class >= Lanes.size() || Lanes[Class].OnTime.empty()) {
    return std::nullopt;
  }
  const key &First = *Lanes[Class].OnTime.begin();
  return waiting_front{.Job = First.Job, .Due = First.Start + Target};
}

job *waiting_queue::getLateFront(class_index Class) const {
  if (Class >= Lanes.size() || Lanes[Class].Late.empty()) {
    return nullptr;
  }
  return Lanes[Class].Late.begin()->Job;
}

job *waiting_queue::getAny(class_index Class) const {
  const auto Front = getFront(Class, duration{});
  return Front ? Front->Job : getLateFront(Class);
}

std::uint32_t waiting_queue::getCount(class_index Class) const {
  return Class < Lanes.size() ? Lanes[Class].Count : 0;
}

duration waiting_queue::getTaken(class_index Class) const {
  return Class < Lanes.size() ? Lanes[Class].Taken : duration{};
}

duration waiting_queue::getWork(class_index Class) const {
  return Class < Lanes.size() ? Lanes[Class].Work : duration{};
}

} // namespace crocuswood::entry
