/// \file
/// Public header of the package runs: follows the runs on a leased endpoint,
/// whose orders may be lost, late or carried out after newer ones.
///
/// The supervisor is a state machine like the cores. Its caller feeds it
/// commands, answers and the time, and carries out the steps it returns.
#pragma once

#include <crocuswood/companion.h>
#include <crocuswood/model.h>
#include <crocuswood/ports.h>

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::runs {

/// Settings of the supervisor.
struct options {
  /// How long runs go on without a renewal. Short, so that the runs of a
  /// companion that has died end soon; long enough for three renewals.
  duration Lease = std::chrono::milliseconds(320);
  /// How long a lease lasts at most, whatever an order says. An order that
  /// reaches the endpoint's next life gets this one: the end that it states is
  /// far ahead on the new clock. 1,000 ms on a clock that is slow by 2%.
  duration LongestLease = std::chrono::milliseconds(1'021);
  /// How long one listing waits for an end. After a lost one the next does not
  /// wait, so that several fit into SilenceLimit.
  duration ListWait = std::chrono::milliseconds(100);
  /// A start without an answer is stopped if no listing has shown its run for
  /// this long. One listing takes ListWait at most.
  duration StartProofLimit = std::chrono::milliseconds(150);
  /// Between the starts of two listings of which the first failed.
  duration ListRetry = std::chrono::milliseconds(50);
  /// An endpoint that has not been listed for longer takes no new runs.
  duration SilenceLimit = std::chrono::milliseconds(300);
  /// A stop without effect is repeated after this.
  duration StopRetry = std::chrono::milliseconds(50);
  /// A run that is stopped and goes on for longer costs the endpoint its
  /// lease, which ends the run for certain.
  duration StopLimit = std::chrono::milliseconds(100);
  /// Added to a lease before a run without renewal counts as ended: up to 12.5
  /// ms for an endpoint's clock that is slow by 2%, over the lease and the age
  /// of the latest listing; 1 ms for rounding; 50 ms for killing; and late
  /// timers.
  duration LeaseMargin = std::chrono::milliseconds(80);
  /// How long an endpoint may take to kill a stopped run, which it doesn't list
  /// as active meanwhile.
  duration KillTime = std::chrono::milliseconds(50);
  /// Added to KillTime for an endpoint's clock that is slow by 2%, for rounding
  /// to milliseconds and late timers.
  duration KillMargin = std::chrono::milliseconds(5);

  /// Whether the time after which a start is in doubt follows from the answer
  /// times of earlier starts. The members below apply only then.
  bool AdaptsDoubt = false;
  /// Bounds of that time. A runner answers in about 1 ms, and a busy one in a
  /// few. The greatest is the usual time limit of an order.
  duration LeastDoubt = std::chrono::milliseconds(12);
  duration GreatestDoubt = std::chrono::milliseconds(60);
  /// A late start is doubted only after this further time, so that answers
  /// which arrived during a pause of this process are read first.
  duration DoubtGrace = std::chrono::milliseconds(2);
  /// Between the starts of two listings that look up starts in doubt. One that
  /// has no answer is given up after the usual time, so that a late answer
  /// doesn't cost its connection.
  duration LookupRetry = std::chrono::milliseconds(15);
  /// A stop without an answer is repeated after this. Its connection is given
  /// up only after GreatestDoubt, and there are two.
  duration UnansweredStopRetry = std::chrono::milliseconds(30);
};

/// Estimates within which time an endpoint answers orders: a smoothed mean plus
/// four smoothed deviations, as for the retransmission timer of TCP (RFC 6298).
class answer_time {
public:
  answer_time(duration Least, duration Greatest)
      : Least(Least), Greatest(Greatest) {}
  /// An order was answered after \p Span. Counts as getLimit() at most, so that
  /// a few late answers hardly raise the limit and many do.
  void add(duration Span);
  /// \returns after which time an order is in doubt.
  duration getLimit() const;

private:
  duration Least;
  duration Greatest;
  std::optional<duration> Mean; ///< Nothing before the first answer.
  duration Deviation{};
};

/// The two listings that may be on their way at a time.
enum class list_slot : std::uint8_t {
  Waiting, ///< Waits for an end, renews the lease and acknowledges ends.
  Lookup,  ///< Waits for nothing, and looks up starts in doubt.
};

// Steps for the caller.

struct send_start {
  start_order Order;
};
struct send_stop {
  stop_order Order;
};
struct send_list {
  list_request Request;
  list_slot Slot = list_slot::Waiting;
};
/// Tells the companion's core.
struct tell_core {
  companion::event Event;
};
using step = std::variant<send_start, send_stop, send_list, tell_core>;

/// Decides which announcements are those of the endpoint that takes the
/// orders. Anybody can send one, and a late one may be of an earlier life, so
/// an announcement counts only if the endpoint's own list names the same life.
/// One that was taken wrongly doesn't shut the endpoint out: among those that
/// contradict each other, one of a pool that is configured goes before others,
/// and one that nobody repeats gives way to one that goes on.
class announcement_filter {
public:
  using announcement = companion::endpoint_announcement;
  /// Why an announcement doesn't count, and whether it may count later.
  struct rejection {
    std::string Reason;
    bool IsHeld = false; ///< Until the endpoint lists its life.
  };
  /// An announcement that counts, or why it doesn't.
  using verdict = std::variant<announcement, rejection>;

  verdict take(announcement Announcement, instant Now);
  /// The endpoint has listed its runs in \p Life. An announcement of that life
  /// which came before counts from now on.
  void noteListed(const std::string &Life, instant Now);
  /// The pools of the classes in force. \returns whether another announcement
  /// counts now.
  bool setPools(std::set<std::string> Names, instant Now);
  /// The endpoint \p Name says that it is about to end, in \p Life if that
  /// isn't empty. \returns its latest announcement, as absent.
  verdict takeLeave(const std::string &Name, const std::string &Life);
  /// \returns the latest announcement of the life that was listed last, or
  /// nothing.
  const announcement *getLatest() const;

private:
  /// Announcements of the listed life that agree with each other but not with
  /// the one that counts.
  struct rival {
    announcement Latest;
    std::uint32_t Count = 1; ///< That came with rising sequences.
  };

  /// \returns why \p Announcement can't be of the life that has announced
  /// itself, or nothing.
  std::string findContradiction(const announcement &Announcement) const;
  /// Whether an endpoint that announces this gets work by the configuration.
  bool isConfigured(const announcement &Announcement) const;
  /// \returns whether \p Announcement takes the place of the one that counts.
  bool challenge(const announcement &Announcement, instant Now);
  bool mayReplace(const rival &Rival, instant Now) const;
  void accept(announcement Announcement, instant Now);
  void hold(announcement Announcement);

  std::optional<std::string> ListedLife;
  /// That counted last; perhaps of an earlier life.
  std::optional<announcement> Latest;
  instant LatestAt; ///< When it came.
  std::deque<rival> Rivals;
  /// Of lives that have not been listed, the latest at the back.
  std::deque<announcement> Held;
  std::set<std::string> Pools; ///< Empty while no configuration is known.
};

/// Knows of every run whether it may still go on. A run is reported as ended
/// only with proof: a listed end, a refusal, a listing from after a confirmed
/// stop or with a greater fence than the start's, or a lease that was not
/// renewed.
class supervisor {
public:
  supervisor(options Options, instant Now);

  /// The core wants a run.
  void start(instant Now, companion::start_task Start);
  /// The core wants a run to end.
  void stop(instant Now, const task_id &Task);
  /// Takes the answer to a start. It is dropped if \p Fence is not that of the
  /// latest start of \p Run; nothing stands for that one.
  void takeStartOutcome(instant Now, const run_id &Run,
                        const order_outcome &Outcome,
                        std::optional<std::uint64_t> Fence = std::nullopt);
  void takeStopOutcome(instant Now, const run_id &Run,
                       const order_outcome &Outcome);
  /// Takes the answer to the latest send_list of \p Slot. An answer counts
  /// only if no other one was taken since its listing was sent, so that answers
  /// count in the order in which the endpoint made them.
  void takeList(instant Now, const list_outcome &Outcome,
                list_slot Slot = list_slot::Waiting);
  /// Somebody has announced itself as the endpoint. The core is told of it if
  /// the endpoint's own list names the same life. \returns whether it counts,
  /// or will if its life is listed; nothing else may be confirmed to the
  /// sender.
  bool takeAnnouncement(instant Now,
                        companion::endpoint_announcement Announcement);
  /// The endpoint \p Name is about to end as planned, with everything on it, in
  /// \p Life if that isn't empty.
  void takeLeave(const std::string &Name, const std::string &Life = {});
  /// The configuration names these pools.
  void takePools(instant Now, std::set<std::string> Pools);
  /// Does what time alone makes due.
  void advance(instant Now);
  /// \returns when advance() is due next.
  instant getNextWake(instant Now) const;

  /// \returns whether the endpoint may be given new runs.
  bool isReady() const { return Settled && !Silent; }
  /// \returns the steps since the last call.
  std::vector<step> takeSteps();

private:
  enum class phase : std::uint8_t {
    Ordered, ///< The start is on its way.
    Started, ///< The endpoint has confirmed the start.
    Unclear, ///< The start has no answer, and no listing has shown its run.
  };
  struct run {
    task_id Task;
    std::string Class;
    std::uint32_t Crashes = 0; ///< Of endpoints under earlier starts.
    phase Phase = phase::Ordered;
    std::uint64_t Fence = 0;            ///< Of the latest start.
    payload Input;                      ///< While it may be sent again.
    instant OrderedAt;                  ///< The start was sent.
    std::optional<instant> LateAt;      ///< No answer came in the usual time.
    std::optional<instant> ConfirmedAt; ///< Of the start.
    /// The number of the latest listing that had been sent by then. Only later
    /// ones prove anything, also where the clock shows the same time.
    std::uint64_t ConfirmedAfter = 0;
    instant UnclearAt;                  ///< While Unclear: since when.
    std::optional<instant> StopAskedAt; ///< First stop.
    std::optional<instant> StopSentAt;  ///< Latest stop.
    std::optional<instant> StoppedAt;   ///< First confirmed stop.
    std::uint64_t StoppedAfter = 0;     ///< As ConfirmedAfter.
    /// When the first listing that proves that the run doesn't begin any more
    /// lacked it, if a stop was sent.
    std::optional<instant> Absence;
    bool Seen = false; ///< Listed as active.
    /// The endpoint has begun a new life, which lists no ends of earlier ones.
    bool Outlived = false;
  };
  using run_map = std::map<run_id, run>;
  /// A run of an earlier life of this companion.
  struct foreign_run {
    instant StopSentAt;             ///< Latest stop.
    std::optional<instant> Absence; ///< As in run.
  };
  /// A listing that was sent.
  struct listing {
    instant SentAt;
    std::uint64_t Fence = 0;
    std::uint64_t Number = 0;      ///< Among all listings.
    std::uint64_t TakenBefore = 0; ///< Answers that had been taken by then.
    bool Outstanding = false;
  };

  /// Tells the core of the endpoint. One that does not answer is not
  /// announced, whatever it says of itself; that it leaves is always passed on.
  void announce();
  void ignore(const std::string &Name, std::string Reason);
  /// Another announcement counts from now on.
  void passOn();
  void sendStop(instant Now, const run_id &Id, run &Run);
  stop_order makeStop(const run_id &Id) const;
  /// Takes what proves that the start was carried out.
  void confirm(instant Now, run &Run) const;
  void sendStart(instant Now, const run_id &Id, run &Run);
  /// Sends a start that the endpoint has refused, or will refuse, for its
  /// fence. \returns whether it did.
  bool sendAgain(instant Now, const run_id &Id, run &Run);
  /// Doubts a start whose answer is late.
  void checkAnswer(instant Now, run &Run) const;
  /// \returns when checkAnswer() has something to do.
  instant getDoubtTime(const run &Run) const;
  /// Whether a listing without wait would tell more of \p Run.
  bool needsLookup(const run &Run) const;
  /// \returns when that listing is due, at the earliest the time of the doubt
  /// or of the confirmed stop.
  instant getLookupTime(const run &Run) const;
  /// Sends that listing if it is due for any run, with a greater fence than
  /// any start in doubt.
  void lookUp(instant Now);
  duration getStopRetry(const run &Run) const;
  /// \returns why a run that is not listed has ended.
  std::string describeEnd(const run &Run) const;
  /// Stops a run whose start has no answer, since no listing shows it.
  void stopUnproved(instant Now, const run_id &Id, run &Run);
  void takeEnds(const run_list &List);
  void takeEnd(const listed_end &End);
  void takeListFailure(instant Now, list_failure Failure, list_slot Slot);
  /// Drops the answer to a listing that another answer has overtaken.
  void dropList(const list_outcome &Outcome, list_slot Slot);
  void takeRunList(instant Now, const run_list &List, const listing &Sent);
  void fallSilent(const std::string &Reason);
  /// The core gives the endpoint no work until it is announced again.
  void suspend(const std::string &Reason);
  void checkMissing(instant Now, const std::set<run_id> &Active,
                    const listing &Sent);
  void checkForeign(instant Now, const std::set<run_id> &Active,
                    const listing &Sent);
  /// \returns whether a run that the listing \p Sent lacks, and that can't
  /// begin any more, has ended. Without a stop it has; else the endpoint may
  /// be killing it.
  bool isOver(instant Now, const std::optional<instant> &StopSentAt,
              std::optional<instant> &Absence, const listing &Sent) const;
  /// \returns when a stopped run that was not listed at \p Absence is over.
  instant getKilledTime(instant Absence) const;
  duration getListWait(instant Now) const;
  void changeLife(instant Now, const run_list &List);
  /// The endpoint has seen a greater fence, of an earlier life of this
  /// companion whose clock was ahead.
  void raiseFence();
  /// \returns whether \p Run is known to have been on the endpoint.
  static bool isProved(const run &Run) { return Run.ConfirmedAt || Run.Seen; }
  /// Remembers what is known to have been on the endpoint, but for \p Shown:
  /// what its next life lists began there.
  void rememberProved(const std::set<run_id> &Shown);
  /// Tells the core what was on the endpoint when it crashed.
  void reportCrash();
  /// Does so if an endpoint whose leases have ended is probably gone.
  void checkGone(instant Now);
  void rememberUnseen(crashed_task Task);
  static crashed_task makeCrashed(const run_id &Id, const run &Run);
  void checkSettled(instant Now, const listing &Sent);
  void settle();
  /// Orders of earlier lives may have renewed the lease until \p Now.
  void allowLongestLease(instant Now);
  /// \returns whether every lease on the endpoint has ended.
  bool haveLeasesEnded(instant Now) const;
  /// Reports the end of a run that did not complete.
  void endRun(run_map::iterator Place, const std::string &Reason);
  void endAll(const std::string &Reason);
  void checkSilence(instant Now);
  void sendList(instant Now);
  void noteSent(instant Now, listing &Listing);
  bool mayRenew(instant Now) const;
  /// \returns whether a run has gone on for StopLimit since its first stop.
  bool resistsStop(instant Now) const;
  /// Tells the core when renewals end.
  void noteWithheld(bool Is);
  template <class Event> void tell(Event Value) {
    Steps.emplace_back(tell_core{.Event = std::move(Value)});
  }

  options Options;
  std::string Life; ///< Of the endpoint as last listed.
  announcement_filter Announcements;
  bool Announced = false; ///< The core knows the latest announcement.
  run_map Runs;
  std::map<task_id, run_id> ByTask;
  std::map<run_id, foreign_run> Foreign;
  /// When the first listing of this life of the endpoint was taken.
  std::optional<instant> Absence;
  /// Runs that ended with their lease, whose endpoint has not answered since.
  std::deque<crashed_task> EndedUnseen;
  /// So did others that are not known to have begun.
  bool EndedUnproved = false;
  bool Departing = false; ///< The endpoint ends as planned.
  bool Refuses = false;   ///< The latest listing was refused a connection.
  instant RefusedAt;      ///< When that listing was sent.
  bool CrashTold = false; ///< Nothing has been started or listed since.
  std::uint64_t Acknowledged = 0;
  /// Sent with every order, so that those of earlier lives of this companion
  /// and of the endpoint are refused once a listing has carried it.
  std::uint64_t Fence = 0;
  /// Since the latest raise for orders of earlier lives; lookups raise the
  /// fence further.
  std::uint64_t EarlierFence = 0;
  std::uint64_t FenceStep = 1; ///< Microseconds; doubles with each refusal.
  listing Waiting;             ///< The latest one of that slot.
  listing Lookup;              ///< The same.
  std::uint64_t ListsSent = 0;
  std::uint64_t ListsTaken = 0;
  bool ListLost = false;    ///< The latest Waiting listing had no answer.
  bool ListDropped = false; ///< The answer to the latest one did not count.
  answer_time StartAnswers;
  instant ListedAt;  ///< Of the latest answer.
  instant RenewedAt; ///< The latest lease was sent.
  /// Until then leases from orders of earlier lives may hold.
  instant EarlierUntil;
  bool FenceKnown = false; ///< The endpoint has answered to EarlierFence.
  bool Withheld = false; ///< The latest listing did not renew, though runs are
                         ///< known.
  bool Settled = false;
  bool Silent = false;
  std::vector<step> Steps;
};

} // namespace crocuswood::runs
