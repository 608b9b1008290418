#include "claim_manager.h"

namespace crocuswood::entry {

namespace {

constexpr std::size_t MaxUnsettled = 4096;
constexpr std::size_t RetriesAtOnce = 32;
// An outcome that could not be stored for this long is given up. A
// resubmission then learns that the earlier attempt may have run.
constexpr duration SettleLimit = std::chrono::minutes(10);

} // namespace

void claim_manager::ask(job &Job) {
  Job.ClaimPending = true;
  State.Sink.record(
      {.Kind = event_kind::ClaimAsked, .Job = Job.Id, .Key = Job.Key});
  State.Sink.push(ask_claim{.Job = Job.Id,
                            .Team = State.Teams.getName(Job.Team),
                            .Key = Job.Key,
                            .RequestDigest = Job.RequestDigest});
}

void claim_manager::settle(const job &Job, const job_outcome &Outcome) {
  if (Unsettled.size() >= MaxUnsettled) {
    dropOldest();
  }
  settle_claim Action{.Job = Job.Id,
                      .Team = State.Teams.getName(Job.Team),
                      .Key = Job.Key,
                      .RequestDigest = Job.RequestDigest,
                      .Outcome = Outcome};
  State.Sink.push(Action);
  Unsettled[Job.Id.Sequence] = {.Action = std::move(Action),
                                .Since = State.now()};
  Order.push_back(Job.Id.Sequence);
}

void claim_manager::noteSettled(const claim_settled &Event) {
  const auto Place = Unsettled.find(Event.Job.Sequence);
  if (Event.Job.Entry != State.Options.Self.Incarnation ||
      Place == Unsettled.end()) {
    return;
  }
  if (!Event.Stored) {
    Place->second.Asked = false;
    return;
  }
  State.Sink.record({.Kind = event_kind::ClaimSettled,
                     .Job = Event.Job,
                     .Key = Place->second.Action.Key});
  Unsettled.erase(Place);
  std::erase(Order, Event.Job.Sequence);
}

void claim_manager::retryUnsettled() {
  while (!Order.empty() &&
         State.now() - Unsettled[Order.front()].Since > SettleLimit) {
    dropOldest();
  }
  std::size_t Retried = 0;
  for (const std::uint64_t Sequence : Order) {
    unsettled &Each = Unsettled[Sequence];
    if (Each.Asked) {
      continue;
    }
    if (++Retried > RetriesAtOnce) {
      return;
    }
    Each.Asked = true;
    State.Sink.push(Each.Action);
  }
}

void claim_manager::dropOldest() {
  Unsettled.erase(Order.front());
  Order.pop_front();
}

} // namespace crocuswood::entry
