// What a listing proves of the runs that it doesn't show.
#include <crocuswood/runs.h>

#include <algorithm>
#include <utility>

namespace crocuswood::runs {

namespace {

std::string describe(const run_id &Run) {
  return "task " + std::to_string(Run.Task) + " of " + Run.Job + ", attempt " +
         std::to_string(Run.Attempt);
}

} // namespace

void supervisor::checkMissing(instant Now, const std::set<run_id> &Active,
                              const listing &Sent) {
  for (auto Place = Runs.begin(); Place != Runs.end();) {
    const auto Each = Place++;
    run &Run = Each->second;
    if (Active.contains(Each->first)) {
      Run.Seen = true;
      Run.Absence.reset();
      if (Run.Phase != phase::Started) {
        if (Run.Phase == phase::Unclear && Options.AdaptsDoubt) {
          // Where all answers have become slow, the limit follows.
          StartAnswers.add(Now - Run.OrderedAt);
        }
        confirm(Now, Run);
      }
      continue;
    }
    const bool Fenced = Run.Fence < Sent.Fence;
    if (Fenced && Run.Phase == phase::Ordered &&
        sendAgain(Now, Each->first, Run)) {
      // The answer may be on its way, or a lookup of other starts came first.
      continue;
    }
    if (!Options.AdaptsDoubt) {
      stopUnproved(Now, Each->first, Run);
    }
    // Only a listing that was asked for after the answer can prove anything.
    const bool Confirmed = Run.ConfirmedAt && Run.ConfirmedAfter < Sent.Number;
    // A stop bars the run in one life only, and an order that reaches the next
    // one finds another clock there.
    const bool Stopped =
        !Run.Outlived && Run.StoppedAt && Run.StoppedAfter < Sent.Number;
    // An order that arrives after the lease that it carries is refused. Until
    // then stops are repeated, of which one is likely to arrive before it.
    const bool Expired =
        !Run.Outlived && Run.Phase == phase::Unclear && Run.StopAskedAt &&
        Sent.SentAt - *Run.StopAskedAt >= Options.Lease + Options.LeaseMargin;
    const bool NeverBeginsAgain = Confirmed || Stopped || Expired || Fenced;
    if (NeverBeginsAgain && isOver(Now, Run.StopSentAt, Run.Absence, Sent)) {
      endRun(Each, describeEnd(Run));
    }
  }
}

// An endpoint doesn't list what it kills. A stop without an answer may be
// carried out seconds after it was sent, so the time counts from the first
// absence and not from the stop.
bool supervisor::isOver(instant Now, const std::optional<instant> &StopSentAt,
                        std::optional<instant> &Absence,
                        const listing &Sent) const {
  if (!StopSentAt) {
    return true;
  }
  if (!Absence) {
    Absence = Now;
    return false;
  }
  return Sent.SentAt >= getKilledTime(*Absence);
}

instant supervisor::getKilledTime(instant Absence) const {
  return Absence + Options.KillTime + Options.KillMargin;
}

// The listing that finds a run absent for the second time is sent as soon as it
// may prove the end.
duration supervisor::getListWait(instant Now) const {
  duration Wait = Options.ListWait;
  const auto Shorten = [&](const std::optional<instant> &Absence) {
    if (Absence) {
      // Endpoints count whole milliseconds.
      const duration Rest =
          getKilledTime(*Absence) - Now + std::chrono::milliseconds(1);
      Wait = std::clamp(Rest, duration::zero(), Wait);
    }
  };
  for (const auto &[Id, Run] : Runs) {
    Shorten(Run.Absence);
  }
  for (const auto &[Id, Run] : Foreign) {
    Shorten(Run.Absence);
  }
  if (!Settled) {
    Shorten(Absence);
  }
  return Wait;
}

void supervisor::checkForeign(instant Now, const std::set<run_id> &Active,
                              const listing &Sent) {
  for (auto Place = Foreign.begin(); Place != Foreign.end();) {
    const auto Each = Place++;
    foreign_run &Run = Each->second;
    if (!Active.contains(Each->first) &&
        isOver(Now, Run.StopSentAt, Run.Absence, Sent)) {
      Foreign.erase(Each);
    }
  }
  companion::unknown_runs Unknown;
  for (const run_id &Id : Active) {
    if (Runs.contains(Id)) {
      continue;
    }
    const auto [Place, Added] =
        Foreign.try_emplace(Id, foreign_run{.StopSentAt = Now});
    foreign_run &Run = Place->second;
    Run.Absence.reset();
    if (Added) {
      ++Unknown.Count;
      Unknown.First = describe(Id);
    }
    if (Added || Now - Run.StopSentAt >= Options.StopRetry) {
      Run.StopSentAt = Now;
      Steps.emplace_back(send_stop{makeStop(Id)});
    }
  }
  if (Unknown.Count > 0) {
    tell(std::move(Unknown));
  }
}

} // namespace crocuswood::runs
