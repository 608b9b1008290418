#include "entry_decisions.h"

#include "overloaded.h"

#include <utility>

namespace crocuswood::daemon {

entry_decisions::entry_decisions(rings::duty &Duty, const clock_port &Clock,
                                 const entry::options &Options,
                                 decision_rings Rings, entry_rings OwnRings)
    : decision_duty(Duty, Clock, Options.Self, Rings), Core(Options),
      OwnRings(OwnRings), ToFront(OwnRings.ToFront),
      ToPlatform(OwnRings.ToPlatform) {
  measureLag();
}

void entry_decisions::handle(instant Now, entry::event Event) {
  Core.handle(Now, std::move(Event), Actions);
}

bool entry_decisions::takeOwnItems(instant Now, bool TakeNewWork) {
  platform_item FromPlatform;
  std::size_t Answers = 0;
  while (Answers < MaxItemsPerTurn &&
         OwnRings.FromPlatform.tryPop(FromPlatform)) {
    ++Answers;
    takePlatformItem(Now, std::move(FromPlatform));
  }
  front_item FromFront;
  std::size_t Requests = 0;
  while (TakeNewWork && Requests < MaxItemsPerTurn &&
         OwnRings.FromFront.tryPop(FromFront)) {
    ++Requests;
    takeFrontItem(Now, std::move(FromFront));
  }
  return Answers == MaxItemsPerTurn || Requests == MaxItemsPerTurn;
}

void entry_decisions::takeFrontItem(instant Now, front_item Item) {
  std::visit(
      overloaded{[&](input_dropped &Dropped) {
                   getRecorder().record(
                       {.Kind = event_kind::InputDropped,
                        .Value = static_cast<std::int64_t>(Dropped.Bytes)});
                 },
                 [&](auto &Event) { handle(Now, std::move(Event)); }},
      Item);
}

void entry_decisions::takePlatformItem(instant Now, platform_item Item) {
  std::visit(
      overloaded{[&](store_changed &Changed) {
                   getRecorder().record({.Kind = Changed.Up
                                                     ? event_kind::StoreUp
                                                     : event_kind::StoreDown});
                 },
                 [&](change_recorded &Change) {
                   getRecorder().record(
                       {.Kind = event_kind::ConfigurationAccepted,
                        .Value = static_cast<std::int64_t>(Change.Revision)});
                 },
                 [&](auto &Event) { handle(Now, std::move(Event)); }},
      Item);
}

void entry_decisions::takeLinkItem(instant Now, link_item Item) {
  std::visit(
      overloaded{
          [&](const link_up &Up) {
            handle(Now, entry::link_opened{.Link = Up.Link});
          },
          [&](link_received &Received) {
            handle(Now, entry::envelope_received{
                            .Link = Received.Link,
                            .Messages = std::move(Received.Envelope.Messages)});
          },
          [&](link_down &Down) {
            handle(Now, entry::link_closed{.Link = Down.Link,
                                           .Reason = std::move(Down.Reason)});
          }},
      Item);
}

void entry_decisions::takeStop(instant Now) {
  ToFront.push(stop_announced{});
  handle(Now, entry::stop_requested{});
}

void entry_decisions::takeTimer(instant Now) {
  handle(Now, entry::timer_expired{});
}

void entry_decisions::takeLag(instant Now, duration Lag) {
  handle(Now, entry::lag_measured{.Lag = Lag});
}

void entry_decisions::takePause(instant Now) {
  handle(Now, entry::pause_noticed{});
}

void entry_decisions::finishTurn(instant Now) {
  Core.flush(Now, Actions);
  for (entry::action &Action : Actions) {
    carryOut(std::move(Action));
  }
  Actions.clear();
}

void entry_decisions::carryOut(entry::action Action) {
  std::visit(
      overloaded{
          [&](entry::answer_caller &Answer) {
            ToFront.push(std::move(Answer));
          },
          [&](entry::send_messages &Send) {
            send(Send.Link, std::move(Send.Messages));
          },
          [&](const entry::close_link &Close) { close(Close.Link); },
          [&](entry::ask_claim &Ask) { ToPlatform.push(std::move(Ask)); },
          [&](entry::settle_claim &Settle) {
            ToPlatform.push(std::move(Settle));
          },
          [&](const entry::wake_at &Wake) { wakeAt(Wake.At); },
          [&](entry::configuration_adopted &Adopted) {
            ToFront.push(std::move(Adopted));
          },
          [&](const entry::steer_callers &Steer) { ToFront.push(Steer); },
          [&](const entry::intake_closed &Closed) { ToFront.push(Closed); },
          [&](const entry::check_callers &Check) { ToFront.push(Check); },
          [&](entry::record_event &Record) {
            getRecorder().record(std::move(Record.Event));
          },
          [&](const entry::stop_finished &) { reportFinished(); }},
      Action);
}

bool entry_decisions::flushOwn() {
  const bool FrontFlushed = ToFront.flush();
  return ToPlatform.flush() && FrontFlushed;
}

} // namespace crocuswood::daemon
