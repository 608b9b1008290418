// Lives of the endpoint: which announcements are its own, what a new life ends
// and what has crashed.
#include <crocuswood/runs.h>

#include <algorithm>
#include <utility>

namespace crocuswood::runs {

namespace {

/// Far more than run on an endpoint at a time.
constexpr std::size_t MaxEndedUnseen = 1'024;
/// Listings that fail are repeated every ListRetry, a little late.
constexpr int RecentLists = 2;

} // namespace

bool supervisor::takeAnnouncement(
    instant Now, companion::endpoint_announcement Announcement) {
  const std::string Name = Announcement.Name;
  auto Verdict = Announcements.take(std::move(Announcement), Now);
  if (auto *Rejected = std::get_if<announcement_filter::rejection>(&Verdict)) {
    ignore(Name, std::move(Rejected->Reason));
    return Rejected->IsHeld;
  }
  passOn();
  return true;
}

void supervisor::passOn() {
  // A leave that was late was that of an earlier life.
  Departing = Departing &&
              Announcements.getLatest()->Offer.State != endpoint_state::Serving;
  Announced = false;
  announce();
}

void supervisor::takePools(instant Now, std::set<std::string> Pools) {
  if (Announcements.setPools(std::move(Pools), Now)) {
    passOn();
  }
}

void supervisor::takeLeave(const std::string &Name, const std::string &Life) {
  auto Verdict = Announcements.takeLeave(Name, Life);
  if (auto *Rejected = std::get_if<announcement_filter::rejection>(&Verdict)) {
    ignore(Name, std::move(Rejected->Reason));
    return;
  }
  Departing = true;
  Announced = false;
  announce();
}

void supervisor::ignore(const std::string &Name, std::string Reason) {
  tell(companion::announcement_ignored{.Name = Name,
                                       .Reason = std::move(Reason)});
}

void supervisor::announce() {
  const companion::endpoint_announcement *Latest = Announcements.getLatest();
  if (Latest == nullptr || Announced) {
    return;
  }
  const bool Serves = Latest->Offer.State == endpoint_state::Serving;
  if (!Serves || isReady()) {
    Announced = true;
    tell(companion::endpoint_announced{.Announcement = *Latest});
  }
}

void supervisor::changeLife(instant Now, const run_list &List) {
  const std::string &Next = List.Life;
  const auto Ended = std::ranges::count_if(
      Runs, [](const auto &Item) { return Item.second.Seen; });
  tell(companion::endpoint_restarted{.From = Life,
                                     .To = Next,
                                     .EndedRuns =
                                         static_cast<std::uint32_t>(Ended)});
  if (!Life.empty()) {
    // Precedes the ends of runs, whose room is that of the earlier life.
    suspend("it has begun another life");
  }
  std::set<run_id> Shown(List.Active.begin(), List.Active.end());
  for (const listed_end &End : List.Ended) {
    Shown.insert(End.Run);
  }
  rememberProved(Shown);
  reportCrash();
  Departing = false;
  // A restarted endpoint runs nothing that was listed before. Other orders may
  // have reached it in its new life, or may do so until it knows a new fence.
  for (auto Place = Runs.begin(); Place != Runs.end();) {
    const auto Each = Place++;
    Each->second.Outlived = true;
    if (Each->second.Seen) {
      endRun(Each, "the endpoint has restarted");
    }
  }
  Fence = std::max(Fence + 1,
                   static_cast<std::uint64_t>(Now.time_since_epoch().count()));
  EarlierFence = Fence;
  FenceKnown = false;
  allowLongestLease(Now);
  Life = Next;
  Acknowledged = 0;
  Foreign.clear();
  Absence.reset();
}

// A run that was ordered without any proof may never have begun.
void supervisor::rememberProved(const std::set<run_id> &Shown) {
  for (const auto &[Id, Run] : Runs) {
    if (Shown.contains(Id)) {
      continue;
    }
    if (isProved(Run)) {
      rememberUnseen(makeCrashed(Id, Run));
    } else {
      EndedUnproved = true;
    }
  }
}

void supervisor::rememberUnseen(crashed_task Task) {
  EndedUnseen.push_back(std::move(Task));
  if (EndedUnseen.size() > MaxEndedUnseen) {
    EndedUnseen.pop_front();
  }
}

void supervisor::reportCrash() {
  const std::vector<crashed_task> Tasks(EndedUnseen.begin(), EndedUnseen.end());
  EndedUnseen.clear();
  const bool MayHaveOthers = std::exchange(EndedUnproved, false);
  if (Life.empty() || Departing || CrashTold) {
    return;
  }
  CrashTold = true;
  tell(companion::endpoint_crashed{.Tasks = Tasks,
                                   .MayHaveOthers = MayHaveOthers});
}

// The life of an endpoint that is back tells for certain, but only after
// seconds, and its tasks run elsewhere from now on. One that refused
// connections until all leases had ended is very likely gone; if it comes back
// in the same life, the count stands. A refusal from before a pause of this
// process tells nothing of the time since.
void supervisor::checkGone(instant Now) {
  const bool RefusesNow =
      Refuses && Now - RefusedAt <= RecentLists * Options.ListRetry;
  if (RefusesNow && Now - ListedAt >= Options.SilenceLimit) {
    reportCrash();
  }
}

crashed_task supervisor::makeCrashed(const run_id &Id, const run &Run) {
  return {.RunName = Id.Job,
          .Index = Id.Task,
          .Class = Run.Class,
          .Crashes = Run.Crashes};
}

} // namespace crocuswood::runs
