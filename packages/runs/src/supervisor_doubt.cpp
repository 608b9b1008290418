// Starts without an answer: when they are in doubt, and how they are looked up.
#include <crocuswood/runs.h>

#include <algorithm>

namespace crocuswood::runs {

namespace {

// As for the retransmission timer of TCP.
constexpr int MeanShare = 8;
constexpr int DeviationShare = 4;
constexpr int Deviations = 4;

} // namespace

void answer_time::add(duration Span) {
  if (!Mean) {
    Mean = std::min(Span, Greatest);
    Deviation = *Mean / 2;
    return;
  }
  const duration Counted = std::min(Span, getLimit());
  const duration Error = Counted - *Mean;
  Mean = *Mean + Error / MeanShare;
  Deviation += (std::chrono::abs(Error) - Deviation) / DeviationShare;
}

duration answer_time::getLimit() const {
  return Mean ? std::clamp(*Mean + Deviations * Deviation, Least, Greatest)
              : Greatest;
}

void supervisor::checkAnswer(instant Now, run &Run) const {
  if (!Options.AdaptsDoubt || Run.Phase != phase::Ordered ||
      Now < getDoubtTime(Run)) {
    return;
  }
  if (!Run.LateAt) {
    Run.LateAt = Now;
    return;
  }
  Run.Phase = phase::Unclear;
  Run.UnclearAt = Now;
}

instant supervisor::getDoubtTime(const run &Run) const {
  return Run.LateAt ? *Run.LateAt + Options.DoubtGrace
                    : Run.OrderedAt + StartAnswers.getLimit();
}

bool supervisor::needsLookup(const run &Run) const {
  return Options.AdaptsDoubt && Run.Phase == phase::Unclear;
}

instant supervisor::getLookupTime(const run &Run) const {
  // One with a greater fence shows the run or proves that it never begins.
  const bool WasSent =
      Lookup.SentAt >= Run.UnclearAt && Lookup.Fence > Run.Fence;
  const instant Next =
      WasSent ? Lookup.SentAt + Options.LookupRetry : Run.UnclearAt;
  return Run.Absence ? std::max(Next, getKilledTime(*Run.Absence)) : Next;
}

void supervisor::lookUp(instant Now) {
  if (Lookup.Outstanding || Life.empty()) {
    return;
  }
  bool IsDue = false;
  std::uint64_t Greatest = 0;
  for (const auto &[Id, Run] : Runs) {
    if (needsLookup(Run)) {
      IsDue = IsDue || Now >= getLookupTime(Run);
      Greatest = std::max(Greatest, Run.Fence);
    }
  }
  if (!IsDue) {
    return;
  }
  Fence = std::max(Fence, Greatest + 1);
  noteSent(Now, Lookup);
  // It acknowledges and renews nothing: the endpoint may have begun a new life,
  // and only one listing at a time may tell it so.
  Steps.emplace_back(send_list{.Request = {.DecidedAt = Now, .Fence = Fence},
                               .Slot = list_slot::Lookup});
}

bool supervisor::sendAgain(instant Now, const run_id &Id, run &Run) {
  const bool MayBegin = Options.AdaptsDoubt && Run.Fence < Fence &&
                        !Run.Outlived && !Run.StopAskedAt && isReady() &&
                        Announcements.getLatest() != nullptr &&
                        !resistsStop(Now);
  if (MayBegin) {
    sendStart(Now, Id, Run);
  }
  return MayBegin;
}

std::string supervisor::describeEnd(const run &Run) const {
  if (!Options.AdaptsDoubt || Run.Phase != phase::Unclear) {
    return Run.StopSentAt ? "stopped by order" : "the endpoint has no such run";
  }
  const auto Span = std::chrono::duration_cast<std::chrono::milliseconds>(
      Run.UnclearAt - Run.OrderedAt);
  return "its start had no answer for " + std::to_string(Span.count()) +
         " ms, and a listing with a greater fence lacks it";
}

duration supervisor::getStopRetry(const run &Run) const {
  return Options.AdaptsDoubt && !Run.StoppedAt ? Options.UnansweredStopRetry
                                               : Options.StopRetry;
}

} // namespace crocuswood::runs
