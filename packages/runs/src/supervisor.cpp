#include <crocuswood/runs.h>

#include <algorithm>
#include <utility>

namespace crocuswood::runs {

namespace {

/// The time of day may have gone back by minutes between two lives.
constexpr std::uint64_t FirstFenceStep = 1'000'000;

bool isFailure(const list_outcome &Outcome) {
  const auto *Failure = std::get_if<list_failure>(&Outcome);
  return Failure != nullptr && *Failure != list_failure::Fenced;
}

} // namespace

supervisor::supervisor(options Options, instant Now)
    : Options(Options),
      Fence(static_cast<std::uint64_t>(Now.time_since_epoch().count())),
      EarlierFence(Fence), FenceStep(FirstFenceStep),
      StartAnswers(Options.LeastDoubt, Options.GreatestDoubt), ListedAt(Now),
      RenewedAt(Now) {
  // An earlier life of this companion may have renewed the lease just now.
  allowLongestLease(Now);
}

std::vector<step> supervisor::takeSteps() { return std::exchange(Steps, {}); }

void supervisor::start(instant Now, companion::start_task Start) {
  const run_id Id{.Job = std::move(Start.RunName),
                  .Task = Start.Task.Index,
                  .Attempt = Start.Attempt};
  const companion::endpoint_announcement *Endpoint = Announcements.getLatest();
  if (!isReady() || Endpoint == nullptr) {
    tell(companion::run_refused{
        .Task = Start.Task,
        .Reason = Endpoint == nullptr ? "the endpoint has not announced "
                                        "its life"
                                      : "the endpoint does not answer"});
    return;
  }
  if (!Start.Life.empty() && Start.Life != Life) {
    tell(companion::run_refused{.Task = Start.Task,
                                .Reason = "it was meant for an earlier life"});
    return;
  }
  if (Runs.contains(Id)) {
    tell(companion::run_refused{.Task = Start.Task,
                                .Reason = "this run goes on already"});
    return;
  }
  if (resistsStop(Now)) {
    // A start renews the lease of everything on the endpoint.
    tell(companion::run_refused{.Task = Start.Task,
                                .Reason = "a stop has had no effect"});
    return;
  }
  run &Run = Runs.emplace(Id, run{.Task = Start.Task,
                                  .Class = std::move(Start.Class),
                                  .Crashes = Start.Crashes,
                                  .Input = std::move(Start.Input)})
                 .first->second;
  ByTask[Start.Task] = Id;
  CrashTold = false;
  sendStart(Now, Id, Run);
}

void supervisor::sendStart(instant Now, const run_id &Id, run &Run) {
  Run.Phase = phase::Ordered;
  Run.Fence = Fence;
  Run.OrderedAt = Now;
  Run.LateAt.reset();
  RenewedAt = Now;
  Steps.emplace_back(send_start{
      .Order = {.Run = Id,
                .Input = Options.AdaptsDoubt ? Run.Input : std::move(Run.Input),
                .Life = Life,
                .Instance = Announcements.getLatest()->Name,
                .Lease = Options.Lease,
                .DecidedAt = Now,
                .Fence = Fence}});
}

void supervisor::stop(instant Now, const task_id &Task) {
  const auto Known = ByTask.find(Task);
  if (Known == ByTask.end()) {
    return;
  }
  run &Run = Runs.at(Known->second);
  if (!Run.StopAskedAt) {
    sendStop(Now, Known->second, Run);
  }
}

void supervisor::sendStop(instant Now, const run_id &Id, run &Run) {
  Run.StopAskedAt = Run.StopAskedAt.value_or(Now);
  Run.StopSentAt = Now;
  Steps.emplace_back(send_stop{makeStop(Id)});
}

stop_order supervisor::makeStop(const run_id &Id) const {
  const companion::endpoint_announcement *Endpoint = Announcements.getLatest();
  return {.Run = Id,
          .Instance = Endpoint == nullptr ? std::string() : Endpoint->Name,
          .Fence = Fence,
          .Limit = Options.AdaptsDoubt ? std::optional(Options.GreatestDoubt)
                                       : std::nullopt};
}

void supervisor::takeStartOutcome(instant Now, const run_id &Id,
                                  const order_outcome &Outcome,
                                  std::optional<std::uint64_t> OrderFence) {
  const auto Place = Runs.find(Id);
  if (Place == Runs.end()) {
    return;
  }
  run &Run = Place->second;
  if (OrderFence && *OrderFence != Run.Fence) {
    // It answers an order that is proved not to begin.
    return;
  }
  const bool Answered = Outcome.Status == order_status::Done ||
                        Outcome.Status == order_status::Refused;
  if (Options.AdaptsDoubt && Answered) {
    StartAnswers.add(Now - Run.OrderedAt);
  }
  // The answer to a start in doubt is as good as one in time.
  const bool WasDoubted = Run.Phase == phase::Unclear && Options.AdaptsDoubt;
  if (Run.Phase != phase::Ordered && !WasDoubted) {
    return;
  }
  switch (Outcome.Status) {
  case order_status::Done:
    confirm(Now, Run);
    return;
  case order_status::Refused:
  case order_status::NotReached:
    if (Outcome.IsFenced && sendAgain(Now, Id, Run)) {
      return;
    }
    endRun(Place, Outcome.Reason);
    return;
  case order_status::Unknown:
    // Often only the answer was lost, and the next listing shows the run.
    if (!WasDoubted) {
      Run.Phase = phase::Unclear;
      Run.UnclearAt = Now;
      lookUp(Now);
    }
    return;
  }
}

void supervisor::confirm(instant Now, run &Run) const {
  Run.Phase = phase::Started;
  Run.Input = payload();
  Run.ConfirmedAt = Now;
  Run.ConfirmedAfter = ListsSent;
}

void supervisor::stopUnproved(instant Now, const run_id &Id, run &Run) {
  if (Run.Phase == phase::Unclear && !Run.StopAskedAt) {
    sendStop(Now, Id, Run);
  }
}

void supervisor::takeStopOutcome(instant Now, const run_id &Id,
                                 const order_outcome &Outcome) {
  const auto Place = Runs.find(Id);
  if (Place == Runs.end() || Outcome.Status != order_status::Done) {
    return;
  }
  run &Run = Place->second;
  if (!Run.StoppedAt) {
    Run.StoppedAt = Now;
    Run.StoppedAfter = ListsSent;
  }
  lookUp(Now);
}

void supervisor::takeList(instant Now, const list_outcome &Outcome,
                          list_slot Slot) {
  listing &Place = Slot == list_slot::Waiting ? Waiting : Lookup;
  Place.Outstanding = false;
  const listing Sent = Place;
  if (Sent.TakenBefore != ListsTaken) {
    dropList(Outcome, Slot);
  } else if (const auto *Failure = std::get_if<list_failure>(&Outcome)) {
    if (*Failure != list_failure::Fenced) {
      takeListFailure(Now, *Failure, Slot);
    } else if (Sent.Fence == Fence) {
      // Of two listings with one fence, the first refusal has raised it.
      raiseFence();
    }
  } else {
    if (Slot == list_slot::Waiting) {
      ListLost = false;
      ListDropped = false;
    }
    takeRunList(Now, std::get<run_list>(Outcome), Sent);
  }
  if (!Waiting.Outstanding && (!ListLost || !isFailure(Outcome))) {
    sendList(Now);
  }
  lookUp(Now);
}

// The ends in it are listed again, since only answers that were taken are
// acknowledged.
void supervisor::dropList(const list_outcome &Outcome, list_slot Slot) {
  if (Slot == list_slot::Waiting) {
    ListDropped = true;
    // The next life may answer from now on, as after any lost listing.
    ListLost = ListLost || std::holds_alternative<list_failure>(Outcome);
  }
}

void supervisor::takeRunList(instant Now, const run_list &List,
                             const listing &Sent) {
  ++ListsTaken;
  Refuses = false;
  ListedAt = Now;
  if (!FenceKnown && Sent.Fence >= EarlierFence) {
    // Orders of earlier lives could renew the lease until now.
    FenceKnown = true;
    allowLongestLease(Now);
  }
  Announcements.noteListed(List.Life, Now);
  if (List.Life != Life) {
    changeLife(Now, List);
  }
  // The endpoint is in the life in which these runs lost their lease.
  EndedUnseen.clear();
  EndedUnproved = false;
  CrashTold = false;
  takeEnds(List);
  const std::set<run_id> Active(List.Active.begin(), List.Active.end());
  // A run that it does not show may be among the ends that were left out.
  if (!List.LeavesOutEnds && !List.LeavesOutRuns) {
    checkMissing(Now, Active, Sent);
  }
  checkForeign(Now, Active, Sent);
  if (!List.LeavesOutRuns) {
    checkSettled(Now, Sent);
  }
  Silent = false;
  announce();
}

// advance() asks again, so that refused connections are not tried in a tight
// loop.
void supervisor::takeListFailure(instant Now, list_failure Failure,
                                 list_slot Slot) {
  if (Slot == list_slot::Lookup) {
    return;
  }
  ListLost = true;
  Refuses = Failure == list_failure::Refused;
  if (Refuses) {
    RefusedAt = Waiting.SentAt;
    fallSilent("it refuses connections");
  }
  checkSilence(Now);
}

void supervisor::raiseFence() {
  FenceKnown = false;
  Fence += FenceStep;
  EarlierFence = Fence;
  FenceStep *= 2;
}

void supervisor::fallSilent(const std::string &Reason) {
  if (!Silent) {
    Silent = true;
    suspend(Reason);
  }
}

void supervisor::suspend(const std::string &Reason) {
  // The endpoint is announced anew once it answers.
  Announced = false;
  tell(companion::endpoint_silent{.Reason = Reason});
}

void supervisor::takeEnds(const run_list &List) {
  for (const listed_end &End : List.Ended) {
    if (End.Number > Acknowledged) {
      Acknowledged = End.Number;
      takeEnd(End);
    }
  }
}

void supervisor::takeEnd(const listed_end &End) {
  const auto Place = Runs.find(End.Run);
  if (Place == Runs.end()) {
    Foreign.erase(End.Run);
    return;
  }
  const task_id Task = Place->second.Task;
  Place->second.Seen = true;
  switch (End.Result) {
  case run_result::Completed:
    tell(companion::run_completed{.Task = Task});
    break;
  case run_result::Failed:
    tell(companion::run_failed{.Task = Task,
                               .Reason = "the endpoint reported a failure"});
    break;
  case run_result::Stopped:
    tell(companion::run_stopped{.Task = Task, .Reason = "stopped by order"});
    break;
  case run_result::Lapsed:
    tell(companion::run_stopped{.Task = Task, .Reason = "its lease ended"});
    break;
  }
  ByTask.erase(Task);
  Runs.erase(Place);
}

// An earlier life of this companion may have stopped a run just before, which
// is killed and not listed.
void supervisor::checkSettled(instant Now, const listing &Sent) {
  if (!Absence) {
    Absence = Now;
  }
  if (Foreign.empty() && Sent.SentAt >= getKilledTime(*Absence)) {
    settle();
  }
}

void supervisor::settle() {
  if (!Settled) {
    Settled = true;
    tell(companion::endpoint_settled{});
  }
}

void supervisor::endRun(run_map::iterator Place, const std::string &Reason) {
  const task_id Task = Place->second.Task;
  const bool MayHaveBegun = isProved(Place->second) || Place->second.Outlived;
  ByTask.erase(Task);
  Runs.erase(Place);
  if (MayHaveBegun) {
    tell(companion::run_stopped{.Task = Task, .Reason = Reason});
  } else {
    tell(companion::run_refused{.Task = Task, .Reason = Reason});
  }
}

void supervisor::endAll(const std::string &Reason) {
  while (!Runs.empty()) {
    Runs.begin()->second.Seen = true;
    endRun(Runs.begin(), Reason);
  }
}

void supervisor::allowLongestLease(instant Now) {
  EarlierUntil = Now + Options.LongestLease + Options.LeaseMargin;
}

bool supervisor::haveLeasesEnded(instant Now) const {
  return Now >= EarlierUntil &&
         Now - RenewedAt >= Options.Lease + Options.LeaseMargin;
}

void supervisor::checkSilence(instant Now) {
  if (Now - ListedAt >= Options.SilenceLimit) {
    fallSilent("it does not list its runs");
  }
  if (!haveLeasesEnded(Now)) {
    return;
  }
  rememberProved({});
  checkGone(Now);
  endAll("its lease ended unseen");
  // Nothing that an earlier life started can have a lease any more.
  Foreign.clear();
  settle();
}

bool supervisor::mayRenew(instant Now) const {
  // A renewal may arrive although no answer comes, so a silent endpoint gets
  // none: its runs then end for certain.
  return !Runs.empty() && !Silent && !resistsStop(Now);
}

bool supervisor::resistsStop(instant Now) const {
  return std::ranges::any_of(Runs, [&](const auto &Item) {
    const run &Run = Item.second;
    return Run.StopAskedAt && Now - *Run.StopAskedAt >= Options.StopLimit;
  });
}

void supervisor::sendList(instant Now) {
  noteSent(Now, Waiting);
  // After a lost listing the next life may answer, whose ends begin anew.
  list_request Request{.Acknowledged = ListLost ? 0 : Acknowledged,
                       .DecidedAt = Now,
                       .Wait = ListLost || ListDropped || Life.empty()
                                   ? duration::zero()
                                   : getListWait(Now),
                       .Fence = Fence};
  // The endpoint's clock is not known before its first listing.
  const bool Renews = !Life.empty() && mayRenew(Now);
  if (Renews) {
    Request.Lease = Options.Lease;
    RenewedAt = Now;
  }
  noteWithheld(!Renews && !Runs.empty());
  Steps.emplace_back(send_list{.Request = Request});
}

void supervisor::noteSent(instant Now, listing &Listing) {
  Listing = {.SentAt = Now,
             .Fence = Fence,
             .Number = ++ListsSent,
             .TakenBefore = ListsTaken,
             .Outstanding = true};
}

void supervisor::noteWithheld(bool Is) {
  if (Is && !Withheld) {
    tell(companion::lease_withheld{
        .Runs = static_cast<std::uint32_t>(Runs.size()),
        .Reason =
            Silent ? "the endpoint is silent" : "a stop has had no effect"});
  }
  Withheld = Is;
}

void supervisor::advance(instant Now) {
  for (auto &[Id, Run] : Runs) {
    checkAnswer(Now, Run);
    if (Now - Run.UnclearAt >= Options.StartProofLimit) {
      stopUnproved(Now, Id, Run);
    }
    if (Run.StopSentAt && Now - *Run.StopSentAt >= getStopRetry(Run)) {
      sendStop(Now, Id, Run);
    }
  }
  checkSilence(Now);
  announce();
  if (!Waiting.Outstanding && Now - Waiting.SentAt >= Options.ListRetry) {
    sendList(Now);
  }
  lookUp(Now);
}

instant supervisor::getNextWake(instant Now) const {
  instant Next = Now + Options.ListWait;
  if (!Waiting.Outstanding) {
    Next = std::min(Next, Waiting.SentAt + Options.ListRetry);
  }
  for (const auto &[Id, Run] : Runs) {
    if (Options.AdaptsDoubt && Run.Phase == phase::Ordered) {
      Next = std::min(Next, getDoubtTime(Run));
    }
    if (!Lookup.Outstanding && needsLookup(Run)) {
      Next = std::min(Next, getLookupTime(Run));
    }
    if (Run.StopSentAt) {
      Next = std::min(Next, *Run.StopSentAt + getStopRetry(Run));
    } else if (Run.Phase == phase::Unclear) {
      Next = std::min(Next, Run.UnclearAt + Options.StartProofLimit);
    }
  }
  return std::max(Next, Now + std::chrono::milliseconds(1));
}

} // namespace crocuswood::runs
