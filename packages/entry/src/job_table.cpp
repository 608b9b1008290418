#include "job_table.h"

#include <utility>

namespace crocuswood::entry {

job_table::job_table(incarnation Self) : Self(Self) {}

job_id job_table::nextId() {
  return {.Entry = Self, .Sequence = ++LastSequence};
}

job &job_table::add(const job_id &Id, request_id Request) {
  auto Added = std::make_unique<job>();
  Added->Id = Id;
  Added->Request = Request;
  Requests[static_cast<std::uint64_t>(Request)] = Id.Sequence;
  return *(Jobs[Id.Sequence] = std::move(Added));
}

void job_table::remove(job &Job) {
  clearTimer(Job);
  releaseRequest(Job);
  Callers.erase(Job.CallerId);
  Jobs.erase(Job.Id.Sequence);
}

job *job_table::find(const job_id &Id) {
  if (Id.Entry != Self) {
    return nullptr;
  }
  const auto Place = Jobs.find(Id.Sequence);
  return Place == Jobs.end() ? nullptr : Place->second.get();
}

job *job_table::findRequest(request_id Request) {
  const auto Place = Requests.find(static_cast<std::uint64_t>(Request));
  if (Place == Requests.end()) {
    return nullptr;
  }
  return find({.Entry = Self, .Sequence = Place->second});
}

job *job_table::findCaller(const std::string &CallerId) {
  const auto Place = Callers.find(CallerId);
  return Place == Callers.end() ? nullptr : Jobs.at(Place->second).get();
}

job *job_table::findRunName(const std::string &RunName) {
  if (job *Job = findCaller(RunName)) {
    return Job;
  }
  const auto Id = parseJobId(RunName);
  return Id ? find(*Id) : nullptr;
}

void job_table::setCaller(job &Job, std::string CallerId) {
  Job.CallerId = std::move(CallerId);
  if (!Job.CallerId.empty()) {
    Callers[Job.CallerId] = Job.Id.Sequence;
  }
}

void job_table::rebind(job &Job, request_id Request) {
  releaseRequest(Job);
  Job.Request = Request;
  Requests[static_cast<std::uint64_t>(Request)] = Job.Id.Sequence;
}

void job_table::releaseRequest(const job &Job) {
  const auto Place = Requests.find(static_cast<std::uint64_t>(Job.Request));
  if (Place != Requests.end() && Place->second == Job.Id.Sequence) {
    Requests.erase(Place);
  }
}

std::vector<request_id> job_table::listRequests() const {
  std::vector<request_id> Waiting;
  Waiting.reserve(Requests.size());
  for (const auto &[Request, Sequence] : Requests) {
    Waiting.push_back(request_id{Request});
  }
  return Waiting;
}

void job_table::setTimer(job &Job, instant At) {
  clearTimer(Job);
  Job.Timer = At;
  Timers.emplace(At, Job.Id.Sequence);
}

void job_table::clearTimer(job &Job) {
  if (Job.Timer) {
    Timers.erase({*Job.Timer, Job.Id.Sequence});
    Job.Timer.reset();
  }
}

std::optional<instant> job_table::getNextTimer() const {
  if (Timers.empty()) {
    return std::nullopt;
  }
  return Timers.begin()->first;
}

job *job_table::takeExpired(instant Now) {
  if (Timers.empty() || Timers.begin()->first > Now) {
    return nullptr;
  }
  job *Expired = find({.Entry = Self, .Sequence = Timers.begin()->second});
  clearTimer(*Expired);
  return Expired;
}

} // namespace crocuswood::entry
