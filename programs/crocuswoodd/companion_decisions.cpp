#include "companion_decisions.h"

#include "overloaded.h"

#include <algorithm>
#include <utility>

namespace crocuswood::daemon {

companion_decisions::companion_decisions(rings::duty &Duty,
                                         const clock_port &Clock,
                                         const companion::options &Options,
                                         decision_rings Rings,
                                         companion_rings OwnRings)
    : decision_duty(Duty, Clock, Options.Self, Rings), Core(Options),
      OwnRings(OwnRings), ToEndpoint(OwnRings.ToEndpoint) {}

void companion_decisions::handle(instant Now, companion::event Event) {
  Core.handle(Now, std::move(Event), Actions);
}

bool companion_decisions::takeOwnItems(instant Now, bool) {
  platform_item FromPlatform;
  while (OwnRings.FromPlatform.tryPop(FromPlatform)) {
    if (auto *Entries = std::get_if<entry::entries_read>(&FromPlatform)) {
      handle(Now,
             companion::entries_read{.Entries = std::move(Entries->Entries)});
    }
  }
  // Ends of tasks free slots, so they are taken whatever waits.
  endpoint_item FromEndpoint;
  std::size_t Taken = 0;
  while (Taken < MaxItemsPerTurn &&
         OwnRings.FromEndpoint.tryPop(FromEndpoint)) {
    ++Taken;
    std::visit([&](auto &Event) { handle(Now, std::move(Event)); },
               FromEndpoint);
  }
  return Taken == MaxItemsPerTurn;
}

void companion_decisions::takeLinkItem(instant Now, link_item Item) {
  std::visit(overloaded{[&](const link_up &Up) {
                          handle(Now, companion::link_opened{.Link = Up.Link});
                        },
                        [&](link_received &Received) {
                          handle(Now, companion::envelope_received{
                                          .Link = Received.Link,
                                          .Messages = std::move(
                                              Received.Envelope.Messages)});
                        },
                        [&](link_down &Down) {
                          handle(Now, companion::link_closed{
                                          .Link = Down.Link,
                                          .Reason = std::move(Down.Reason)});
                        }},
             Item);
}

void companion_decisions::takeEntries(
    instant Now, const std::vector<peer_address> &Entries) {
  handle(Now, companion::bootstrap_changed{.Entries = Entries});
}

void companion_decisions::takeStop(instant Now) {
  handle(Now, companion::stop_requested{});
}

void companion_decisions::takeTimer(instant Now) {
  handle(Now, companion::timer_expired{});
}

void companion_decisions::finishTurn(instant Now) {
  Core.flush(Now, Actions);
  for (companion::action &Action : Actions) {
    carryOut(std::move(Action));
  }
  Actions.clear();
}

void companion_decisions::carryOut(companion::action Action) {
  std::visit(
      overloaded{
          [&](const companion::dial_entry &Dial) {
            dial(Dial.Link, Dial.Address);
          },
          [&](companion::send_messages &Send) {
            send(Send.Link, std::move(Send.Messages));
          },
          [&](const companion::close_link &Close) { close(Close.Link); },
          [&](companion::start_task &Start) {
            ToEndpoint.push(std::move(Start));
          },
          [&](companion::stop_task &Stop) { ToEndpoint.push(std::move(Stop)); },
          [&](companion::pools_configured &Pools) {
            ToEndpoint.push(std::move(Pools));
          },
          [&](const companion::wake_at &Wake) { wakeAt(Wake.At); },
          [&](companion::record_event &Record) {
            getRecorder().record(std::move(Record.Event));
          },
          [&](const companion::stop_finished &) { reportFinished(); }},
      Action);
}

status_snapshot companion_decisions::getStatus() const {
  companion::status Status = Core.getStatus();
  OwnRings.HasEntry = std::any_of(
      Status.Entries.begin(), Status.Entries.end(),
      [](const companion::entry_status &Entry) { return Entry.Linked; });
  return Status;
}

bool companion_decisions::flushOwn() { return ToEndpoint.flush(); }

} // namespace crocuswood::daemon
