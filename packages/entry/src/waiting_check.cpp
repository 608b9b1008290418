#include "waiting_check.h"

#include <set>

namespace crocuswood::entry {

namespace {

// How long a task that was given back waits for another companion.
constexpr duration RetryGrace = std::chrono::seconds(2);
// How long a job waits for an endpoint that is large enough for it.
constexpr duration RoomGrace = std::chrono::seconds(2);

} // namespace

void waiting_check::checkTimes() {
  // Jobs that end here leave the queue.
  const std::set<class_index> Occupied = State.Queue.getOccupied();
  for (const class_index Class : Occupied) {
    ++State.ClassVisits;
    demote(Class);
    checkLate(Class);
  }
  checkRetries();
  checkOversized();
}

void waiting_check::demote(class_index Class) {
  // Only classes that say what late answers are worth give them up.
  if (!State.Classes[Class].givesUpLate()) {
    return;
  }
  const duration Target = State.Classes[Class].getTarget();
  while (true) {
    const auto Front = State.Queue.getFront(Class, Target);
    // A job of which some tasks run is finished first.
    if (!Front || Front->Due >= State.now() || Front->Job->NextFresh > 0) {
      return;
    }
    State.Queue.makeLate(*Front->Job);
  }
}

void waiting_check::checkLate(class_index Class) {
  const duration Limit = Admission.getLateLimit(Class);
  while (job *Job = State.Queue.getLateFront(Class)) {
    if (State.now() - Job->Arrival <= Limit) {
      return;
    }
    if (Job->NextFresh > 0) {
      // Some tasks have been placed, so the rest must follow.
      State.Queue.makeUrgent(*Job);
      continue;
    }
    Admission.noteAnswer(Class, true);
    const auto Tasks = static_cast<std::int64_t>(Job->Tasks.size());
    Jobs.fail(*Job, {.Code = failure_code::Overloaded,
                     .Reason = "The job waited too long under load.",
                     .RetryAfter = Admission.bookReturn(
                         Class, {}, Limit, Job->ExpectedWork * Tasks)});
  }
}

bool waiting_check::forgetPassing(job &Job, std::uint32_t Index) {
  return std::erase_if(Job.GivenBack, [Index](const give_back &Each) {
           return Each.Task == Index && !Each.IsFinal;
         }) > 0;
}

void waiting_check::checkRetries() {
  for (const task_id &Id : State.Retries.getTasks()) {
    job *Job = State.Jobs.find(Id.Job);
    if (Job == nullptr || Job->Phase != job_phase::Active) {
      continue;
    }
    const task &Task = Job->Tasks[Id.Index];
    if (Task.State != task_state::Waiting ||
        State.Companions.hasUntried(*Job, Id.Index) ||
        forgetPassing(*Job, Id.Index) ||
        State.now() - Task.PlacedAt <= RetryGrace) {
      continue;
    }
    Jobs.fail(*Job, {.Code = failure_code::NoEndpoint,
                     .Reason = "Every endpoint gave the task back.",
                     .RetryAfter = RetryGrace,
                     .Task = Id.Index});
  }
}

void waiting_check::checkOversized() {
  const std::vector<oversized_job> Copy = State.Oversized;
  for (const oversized_job &Each : Copy) {
    job *Job = State.Jobs.find(Each.Id);
    if (Job == nullptr || Job->Phase != job_phase::Active ||
        State.now() - Each.Since <= RoomGrace) {
      continue;
    }
    Jobs.fail(*Job, {.Code = failure_code::NoEndpoint,
                     .Reason = "No endpoint has the room that a task needs.",
                     .RetryAfter = RoomGrace,
                     .Task = Job->NextFresh});
  }
  std::erase_if(State.Oversized, [this](const oversized_job &Each) {
    const job *Job = State.Jobs.find(Each.Id);
    return Job == nullptr || Job->Phase != job_phase::Active;
  });
}

} // namespace crocuswood::entry
