#include "decision_duty.h"

#include "asio.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace crocuswood::daemon {

namespace {

using namespace std::chrono_literals;

// How soon a full ring is tried again.
constexpr duration RetryInterval = 500us;

// How often the state is published to the operators' port.
constexpr duration PublishInterval = 500ms;

// How often the lag is measured.
constexpr duration LagInterval = 50ms;

// Turns that are later than that come after a pause. A quota of processor time
// holds a process up for less than a tenth of a second at a time.
constexpr duration PauseMargin = 200ms;

} // namespace

class decision_duty::timers {
public:
  explicit timers(boost::asio::io_context &Context)
      : Wake(Context), Retry(Context), Publish(Context), Lag(Context) {}

  boost::asio::steady_timer Wake;
  boost::asio::steady_timer Retry;
  boost::asio::steady_timer Publish;
  boost::asio::steady_timer Lag;
};

decision_duty::decision_duty(rings::duty &Duty, const clock_port &Clock,
                             const process_id &Self, decision_rings Rings)
    : Duty(Duty), Clock(Clock), Rings(Rings), Recorder(Self, Clock),
      Pauses(PublishInterval + PauseMargin), ToLinks(Rings.ToLinks),
      ToObserver(Rings.ToObserver),
      Timers(std::make_unique<timers>(Duty.getContext())) {}

decision_duty::~decision_duty() = default;

void decision_duty::attach() {
  Recorder.record({.Kind = event_kind::ProcessStarted});
  Duty.setDrain([this] { turn(); });
  // The first turn lets the core ask for its first wake-up.
  Duty.post([this] { turn(true); });
}

void decision_duty::turn(bool TimerExpired) {
  using steady = std::chrono::steady_clock;
  timeline::turn_watch Watch(steady::now());
  const instant Now = Clock.now();
  if (const auto Paused = Pauses.note(Now)) {
    Recorder.record(
        {.Kind = event_kind::ProcessPaused, .Value = Paused->count()});
    takePause(Now);
  }
  if (TimerExpired) {
    takeTimer(Now);
    Watch.note("timed checks", steady::now());
  }
  const bool TakeNewWork = flush();
  bool MoreLeft = takeSharedItems(Now);
  MoreLeft = takeOwnItems(Now, TakeNewWork) || MoreLeft;
  Watch.note("messages", steady::now());
  finishTurn(Now);
  publish(Now);
  Watch.note("sending and status", steady::now());
  if (auto Slow = Watch.report()) {
    Recorder.record(std::move(*Slow));
  }
  std::vector<timeline_event> Events = Recorder.takeEvents();
  if (!Events.empty()) {
    ToObserver.push(std::move(Events));
  }
  if (!flush()) {
    armRetry();
  }
  armWake(Now);
  if (MoreLeft) {
    Duty.getSignal().raise();
  }
}

bool decision_duty::takeSharedItems(instant Now) {
  operators_item Asked;
  while (Rings.FromOperators.tryPop(Asked)) {
    if (auto *Told = std::get_if<entries_told>(&Asked)) {
      takeEntries(Now, Told->Entries);
      continue;
    }
    Recorder.record({.Kind = event_kind::ProcessStopping});
    takeStop(Now);
  }
  link_item Item;
  std::size_t Taken = 0;
  while (Taken < MaxItemsPerTurn && Rings.FromLinks.tryPop(Item)) {
    ++Taken;
    if (const auto *Received = std::get_if<link_received>(&Item)) {
      Recorder.observe(Received->Envelope.Sent);
    }
    takeLinkItem(Now, std::move(Item));
  }
  return Taken == MaxItemsPerTurn;
}

bool decision_duty::flush() {
  const bool LinksFlushed = ToLinks.flush();
  const bool ObserverFlushed = ToObserver.flush();
  return flushOwn() && LinksFlushed && ObserverFlushed;
}

void decision_duty::armRetry() {
  Timers->Retry.expires_after(RetryInterval);
  Timers->Retry.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      turn();
    }
  });
}

void decision_duty::armWake(instant Now) {
  if (!WakeChanged || !WakeTime) {
    return;
  }
  WakeChanged = false;
  Timers->Wake.expires_after(std::max(*WakeTime - Now, duration::zero()));
  Timers->Wake.async_wait([this](const boost::system::error_code &Error) {
    if (Error) {
      return;
    }
    turn(true);
  });
}

void decision_duty::publish(instant Now) {
  if (PublishedAt && Now - *PublishedAt < PublishInterval) {
    return;
  }
  PublishedAt = Now;
  ToObserver.push(published_status{.Status = getStatus(),
                                   .Configuration = copyConfiguration()});
  Timers->Publish.expires_after(PublishInterval);
  Timers->Publish.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      turn();
    }
  });
}

// A document of thousands of classes is too large to be copied at each
// publication.
std::shared_ptr<const configuration> decision_duty::copyConfiguration() {
  const configuration &Current = getConfiguration();
  if (!PublishedConfiguration ||
      PublishedConfiguration->Revision != Current.Revision) {
    PublishedConfiguration = std::make_shared<const configuration>(Current);
  }
  return PublishedConfiguration;
}

// The timer waits for its turn behind everything that was ready before it.
void decision_duty::measureLag() {
  Pauses.setLongestGap(LagInterval + PauseMargin);
  Timers->Lag.expires_after(LagInterval);
  Timers->Lag.async_wait([this](const boost::system::error_code &Error) {
    if (Error) {
      return;
    }
    const auto Late = std::chrono::steady_clock::now() - Timers->Lag.expiry();
    takeLag(Clock.now(), std::chrono::duration_cast<duration>(Late));
    measureLag();
    turn();
  });
}

void decision_duty::dial(link_id Link, const peer_address &Remote) {
  ToLinks.push(dial_link{.Link = Link, .Remote = Remote});
}

void decision_duty::send(link_id Link, std::vector<peer_message> Messages) {
  ToLinks.push(write_link{
      .Link = Link,
      .Envelope = {.Sent = Recorder.stamp(), .Messages = std::move(Messages)}});
}

void decision_duty::close(link_id Link) {
  ToLinks.push(drop_link{.Link = Link});
}

void decision_duty::wakeAt(instant At) {
  WakeTime = At;
  WakeChanged = true;
}

void decision_duty::reportFinished() {
  Recorder.record({.Kind = event_kind::ProcessStopped});
  ToObserver.push(Recorder.takeEvents());
  ToObserver.push(decisions_finished{});
}

} // namespace crocuswood::daemon
