#include "leased_endpoint_duty.h"

#include "overloaded.h"

#include <utility>

namespace crocuswood::daemon {

namespace {

// The core's events as the items of this duty's ring.
endpoint_item toItem(companion::event Event) {
  return std::visit(
      [](auto &Each) -> endpoint_item {
        using type = std::decay_t<decltype(Each)>;
        if constexpr (std::is_constructible_v<endpoint_item, type>) {
          return std::move(Each);
        } else {
          // The supervisor tells nothing else.
          return companion::endpoint_silent{};
        }
      },
      Event);
}

} // namespace

leased_endpoint_duty::leased_endpoint_duty(
    rings::duty &Duty, const clock_port &Clock, const peer_address &Orders,
    http::memory_account &Memory, runs::options Options,
    rings::ring<endpoint_item> &ToDecisions,
    rings::ring<endpoint_command> &FromDecisions)
    : Clock(Clock), ToDecisions(ToDecisions), FromDecisions(FromDecisions),
      Retry(Duty.getContext(), [this] { return this->ToDecisions.flush(); }),
      Adapts(Options.AdaptsDoubt), Supervisor(Options, Clock.now()),
      Runner(
          Duty.getContext(), Clock, Orders,
          [this](companion::endpoint_announcement Announcement) {
            const bool Counts = Supervisor.takeAnnouncement(
                this->Clock.now(), std::move(Announcement));
            carryOut();
            return Counts;
          },
          [this](const std::string &Name, const std::string &Life) {
            Supervisor.takeLeave(Name, Life);
            carryOut();
          },
          [this](std::string Name, std::string Reason) {
            push(companion::announcement_ignored{.Name = std::move(Name),
                                                 .Reason = std::move(Reason)});
          },
          &Memory),
      Timer(Duty.getContext()) {
  Duty.setDrain([this] { takeCommands(); });
}

checked<std::uint16_t>
leased_endpoint_duty::listen(const peer_address &Address) {
  return Runner.listen(Address);
}

void leased_endpoint_duty::start() {
  Started = true;
  tick();
}

void leased_endpoint_duty::tick() {
  const instant Now = Clock.now();
  Supervisor.advance(Now);
  carryOut();
  wakeAt(Now, Supervisor.getNextWake(Now));
}

void leased_endpoint_duty::wakeAt(instant Now, instant Wake) {
  WakeAt = Wake;
  Timer.expires_after(Wake - Now);
  Timer.async_wait([this](const boost::system::error_code &Error) {
    if (!Error) {
      tick();
    }
  });
}

void leased_endpoint_duty::takeCommands() {
  endpoint_command Command;
  while (FromDecisions.tryPop(Command)) {
    std::visit(overloaded{[&](companion::start_task &Start) {
                            Supervisor.start(Clock.now(), std::move(Start));
                          },
                          [&](const companion::stop_task &Stop) {
                            Supervisor.stop(Clock.now(), Stop.Task);
                          },
                          [&](companion::pools_configured &Configured) {
                            Supervisor.takePools(Clock.now(),
                                                 std::move(Configured.Pools));
                          }},
               Command);
  }
  carryOut();
}

void leased_endpoint_duty::carryOut() {
  for (runs::step &Step : Supervisor.takeSteps()) {
    carryOut(std::move(Step));
  }
  if (!Adapts || !Started) {
    return;
  }
  // A start that was just sent is in doubt long before the usual wake.
  const instant Now = Clock.now();
  if (const instant Next = Supervisor.getNextWake(Now); Next < WakeAt) {
    wakeAt(Now, Next);
  }
}

void leased_endpoint_duty::carryOut(runs::step Step) {
  std::visit(
      overloaded{
          [&](runs::send_start &Send) {
            const run_id Run = Send.Order.Run;
            const std::uint64_t Fence = Send.Order.Fence;
            Runner.start(std::move(Send.Order),
                         [this, Run, Fence](const order_outcome &Outcome) {
                           Supervisor.takeStartOutcome(Clock.now(), Run,
                                                       Outcome, Fence);
                           carryOut();
                         });
          },
          [&](const runs::send_stop &Send) {
            Runner.stop(Send.Order, [this, Run = Send.Order.Run](
                                        const order_outcome &Outcome) {
              Supervisor.takeStopOutcome(Clock.now(), Run, Outcome);
              carryOut();
            });
          },
          [&](const runs::send_list &Send) {
            Runner.list(Send.Request,
                        [this, Slot = Send.Slot](const list_outcome &List) {
                          Supervisor.takeList(Clock.now(), List, Slot);
                          carryOut();
                        });
          },
          [&](runs::tell_core &Tell) { push(toItem(std::move(Tell.Event))); }},
      Step);
}

void leased_endpoint_duty::push(endpoint_item Item) {
  ToDecisions.push(std::move(Item));
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

} // namespace crocuswood::daemon
