#include "platform_duty.h"

#include "overloaded.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace crocuswood::daemon {

namespace {

using namespace std::chrono_literals;

// How long a planned stop waits for claims to be settled.
constexpr duration ClaimDrainLimit = 30s;

// Runs \p Work after \p Delay unless the timer is cancelled.
template <class Function>
void runAfter(boost::asio::steady_timer &Timer, duration Delay, Function Work) {
  Timer.expires_after(Delay);
  Timer.async_wait(
      [Work = std::move(Work)](const boost::system::error_code &Error) {
        if (!Error) {
          Work();
        }
      });
}

std::vector<peer_address>
getLinkAddresses(const std::vector<platform::entry_row> &Entries) {
  std::vector<peer_address> Addresses;
  Addresses.reserve(Entries.size());
  for (const platform::entry_row &Entry : Entries) {
    Addresses.push_back(Entry.Links);
  }
  return Addresses;
}

} // namespace

entry_platform_duty::entry_platform_duty(rings::duty &Duty,
                                         const clock_port &Clock,
                                         const platform_adapters &Adapters,
                                         platform_schedule Schedule,
                                         platform::entry_row Self,
                                         joints Joints)
    : Clock(Clock), Schedule(Schedule), Joints(Joints),
      ToDecisions(Joints.ToDecisions), ToObserver(Joints.ToObserver),
      Retry(Duty.getContext(),
            [this] {
              const bool Flushed = ToDecisions.flush();
              return ToObserver.flush() && Flushed;
            }),
      Client(Adapters.OpenTable(Duty.getContext(), Schedule.CallLimit)),
      Registry(*Client, std::move(Self), Schedule.Lease,
               [this](const std::vector<platform::entry_row> &Entries) {
                 takeEntries(Entries);
               }),
      Store(Adapters.OpenConfiguration(
          *Client,
          [this](const configuration &Configuration) {
            push(entry::configuration_read{.Configuration = Configuration});
          })),
      Claims(
          *Client, {},
          [this](entry::claim_answered Answer) { push(std::move(Answer)); },
          [this](const entry::claim_settled &Settled) { push(Settled); }),
      PollTimer(Duty.getContext()), RenewTimer(Duty.getContext()),
      ClaimTimer(Duty.getContext()) {
  if (Adapters.OpenEvacuation) {
    Evacuation = Adapters.OpenEvacuation(
        Duty.getContext(), Schedule.CallLimit, [this](evacuation::state State) {
          push(entry::evacuation_read{.State = std::move(State)});
        });
  }
  Duty.setDrain([this] { takeCommands(); });
}

void entry_platform_duty::start() {
  pollConfiguration();
  renewRow();
}

void entry_platform_duty::pollConfiguration() {
  if (Evacuation) {
    // First, so that an entry that starts knows of evacuated zones when it
    // begins to place.
    Evacuation->poll();
  }
  Store->poll();
  noteStore();
  runAfter(PollTimer, Schedule.Poll, [this] { pollConfiguration(); });
}

void entry_platform_duty::renewRow() {
  Registry.renew();
  Registry.refresh([this] { return Clock.now(); });
  // The list is read with every poll at first, so that a new fleet meets
  // quickly.
  runAfter(RenewTimer, std::min(Schedule.Renewal, Schedule.Poll * 2),
           [this] { renewRow(); });
}

void entry_platform_duty::noteStore() {
  if (Registry.isStoreUp() == StoreUp) {
    return;
  }
  StoreUp = !StoreUp;
  push(store_changed{.Up = StoreUp});
}

void entry_platform_duty::takeEntries(
    const std::vector<platform::entry_row> &Entries) {
  push(entry::entries_read{.Entries = getLinkAddresses(Entries)});
  ToObserver.push(entries_known{.Entries = Entries});
  Retry.arm();
}

void entry_platform_duty::push(platform_item Item) {
  ToDecisions.push(std::move(Item));
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

void entry_platform_duty::takeCommands() {
  const instant Now = Clock.now();
  platform_command Command;
  while (Joints.FromDecisions.tryPop(Command)) {
    std::visit(overloaded{[&](entry::ask_claim &Ask) {
                            Claims.ask(std::move(Ask), Now);
                          },
                          [&](entry::settle_claim &Settle) {
                            Claims.settle(std::move(Settle), Now);
                          }},
               Command);
  }
  change_asked Asked;
  while (Joints.FromObserver.tryPop(Asked)) {
    changeConfiguration(std::move(Asked));
  }
  tickClaims();
}

void entry_platform_duty::tickClaims() {
  Claims.advance(Clock.now());
  if (Claims.getPending() == 0 || ClaimTimerArmed) {
    return;
  }
  ClaimTimerArmed = true;
  runAfter(ClaimTimer, Schedule.ClaimTick, [this] {
    ClaimTimerArmed = false;
    tickClaims();
  });
}

void entry_platform_duty::changeConfiguration(change_asked Asked) {
  const request_id Request = Asked.Request;
  Store->change(std::move(Asked.Change), [this, Request](
                                             const config::change_step &Step) {
    if (const auto *Accepted = std::get_if<config::change_accepted>(&Step)) {
      push(change_recorded{.Revision = Accepted->Configuration.Revision});
    }
    ToObserver.push(change_ended{.Request = Request, .Step = Step});
    Retry.arm();
  });
}

void entry_platform_duty::finish(std::function<void()> Done) {
  takeCommands();
  PollTimer.cancel();
  RenewTimer.cancel();
  const instant Until = Clock.now() + ClaimDrainLimit;
  Registry.withdraw(
      [this, Done = std::move(Done), Until] { waitForClaims(Done, Until); });
}

void entry_platform_duty::waitForClaims(std::function<void()> Done,
                                        instant Until) {
  if (Claims.getPending() == 0 || Clock.now() >= Until) {
    Done();
    return;
  }
  runAfter(
      PollTimer, Schedule.ClaimTick,
      [this, Done = std::move(Done), Until] { waitForClaims(Done, Until); });
}

companion_platform_duty::companion_platform_duty(
    rings::duty &Duty, const clock_port &Clock, const open_table &OpenTable,
    platform_schedule Schedule, rings::ring<platform_item> &ToDecisions,
    const std::atomic<bool> &HasEntry)
    : Clock(Clock), Schedule(Schedule), ToDecisions(ToDecisions),
      HasEntry(HasEntry),
      Client(OpenTable(Duty.getContext(), Schedule.CallLimit)),
      Registry(*Client, std::nullopt, Schedule.Lease,
               [this](const std::vector<platform::entry_row> &Entries) {
                 this->ToDecisions.push(
                     entry::entries_read{.Entries = getLinkAddresses(Entries)});
               }),
      Timer(Duty.getContext()) {
  Duty.setDrain([] {});
}

void companion_platform_duty::start() { refresh(); }

void companion_platform_duty::refresh() {
  ToDecisions.flush();
  const instant Now = Clock.now();
  if (!ReadAt || !HasEntry || Now - *ReadAt >= LinkedInterval) {
    ReadAt = Now;
    Registry.refresh([this] { return Clock.now(); });
  }
  runAfter(Timer, Schedule.Poll, [this] { refresh(); });
}

} // namespace crocuswood::daemon
