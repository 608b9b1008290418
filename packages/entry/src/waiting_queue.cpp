#include "waiting_queue.h"

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
  Job.Queued = true;
}

void waiting_queue::erase(job &Job) {
  lane &Lane = laneOf(Job);
  (Job.Late ? Lane.Late : Lane.OnTime).erase(keyOf(Job));
  Job.Queued = false;
}

void waiting_queue::account(const job &Job, std::int64_t Tasks) {
  lane &Lane = laneOf(Job);
  const auto Change = static_cast<std::uint32_t>(Tasks);
  Count += Change;
  Lane.Count += Change;
  (Job.Late ? LateWork : Lane.Work) += Job.ExpectedRunTime * Tasks;
}

void waiting_queue::add(job &Job, duration ExpectedRunTime) {
  if (Job.ShareLeft == 0) {
    Job.ShareSince = Job.Arrival;
    Job.ShareLeft = ShareTasks;
  }
  Job.ExpectedRunTime = ExpectedRunTime;
  insert(Job);
  account(Job, freshTasks(Job));
}

void waiting_queue::park(job &Job) {
  erase(Job);
  account(Job, -static_cast<std::int64_t>(freshTasks(Job)));
}

void waiting_queue::remove(job &Job) {
  if (Job.Queued) {
    park(Job);
  }
  Job.NextFresh = static_cast<std::uint32_t>(Job.Tasks.size());
}

std::uint32_t waiting_queue::take(job &Job, instant Now) {
  const std::uint32_t Index = Job.NextFresh;
  ++Job.NextFresh;
  --Job.ShareLeft;
  account(Job, -1);
  if (freshTasks(Job) == 0) {
    erase(Job);
    return Index;
  }
  if (Job.ShareLeft == 0) {
    erase(Job);
    Job.ShareSince = Now;
    Job.ShareLeft = ShareTasks;
    insert(Job);
  }
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

std::uint32_t waiting_queue::getCount(class_index Class) const {
  return Class < Lanes.size() ? Lanes[Class].Count : 0;
}

duration waiting_queue::getWork(class_index Class) const {
  return Class < Lanes.size() ? Lanes[Class].Work : duration{};
}

} // namespace crocuswood::entry
