#include "companion_process.h"

#include <utility>

namespace crocuswood::replay {

namespace {

constexpr duration RowInterval = std::chrono::seconds(2);
constexpr duration RowLease = std::chrono::seconds(30);
constexpr duration PollInterval = std::chrono::seconds(10);

struct outcome_reader {
  const task_id &Task;

  companion::event operator()(endpoint_completed &Outcome) const {
    return companion::run_completed{.Task = Task,
                                    .Output = std::move(Outcome.Output)};
  }
  companion::event operator()(endpoint_failed &Outcome) const {
    return companion::run_failed{.Task = Task,
                                 .Reason = std::move(Outcome.Reason)};
  }
  companion::event operator()(endpoint_not_reached &Outcome) const {
    return companion::run_not_reached{.Task = Task,
                                      .Reason = std::move(Outcome.Reason)};
  }
  companion::event operator()(endpoint_lost &Outcome) const {
    return companion::run_lost{.Task = Task,
                               .Reason = std::move(Outcome.Reason)};
  }
};

} // namespace

companion_process::companion_process(world &World,
                                     const companion_description &Description,
                                     companion::options Options,
                                     network &Network, fake_store &Store)
    : process(World, Description.Name, Description.Zone),
      Options(std::move(Options)), Network(Network), Store(Store) {}

void companion_process::begin() {
  Options.Self = getId();
  Options.Zone = getZone();
  Options.Seed = World.Random.next();
  Wake.reset();
  Core = std::make_unique<companion::core>(Options);
  Table = std::make_unique<store_client>(Store, *this);
  Registry = std::make_unique<platform::entry_registry>(
      *Table, std::nullopt, RowLease,
      [this](const std::vector<platform::entry_row> &Rows) {
        companion::entries_read Event;
        for (const platform::entry_row &Row : Rows) {
          Event.Entries.push_back(Row.Links);
        }
        handle(std::move(Event));
      });
  Configurations = std::make_unique<platform::configuration_store>(
      *Table, [this](const configuration &Configuration) {
        handle(companion::configuration_read{Configuration});
      });
  handle(companion::timer_expired{});
  refreshRows();
  pollConfiguration();
}

void companion_process::refreshRows() {
  Registry->refresh([this]() { return getNow(); });
  after(RowInterval, [this]() { refreshRows(); });
}

void companion_process::pollConfiguration() {
  Configurations->poll();
  after(PollInterval, [this]() { pollConfiguration(); });
}

void companion_process::announce(
    const companion::endpoint_announcement &Announcement) {
  deliver([this, Announcement]() {
    handle(companion::endpoint_announced{Announcement});
  });
}

void companion_process::requestStop() {
  record({.Kind = event_kind::ProcessStopping});
  handle(companion::stop_requested{});
}

void companion_process::linkOpened(link_id Link,
                                   const peer_address & /*Remote*/) {
  handle(companion::link_opened{Link});
}

void companion_process::envelopeReceived(link_id Link, peer_envelope Envelope) {
  handle(companion::envelope_received{
      .Link = Link, .Messages = std::move(Envelope.Messages)});
}

void companion_process::linkClosed(link_id Link, const std::string &Reason) {
  handle(companion::link_closed{.Link = Link, .Reason = Reason});
}

void companion_process::handle(companion::event Event) {
  std::vector<companion::action> Actions;
  Core->handle(getNow(), std::move(Event), Actions);
  Core->flush(getNow(), Actions);
  for (companion::action &Action : Actions) {
    if (isAlive()) {
      apply(Action);
    }
  }
}

void companion_process::apply(companion::action &Action) {
  if (auto *Send = std::get_if<companion::send_messages>(&Action)) {
    Network.send(*this, Send->Link, std::move(Send->Messages));
  } else if (auto *Record = std::get_if<companion::record_event>(&Action)) {
    record(std::move(Record->Event));
  } else if (auto *Start = std::get_if<companion::start_task>(&Action)) {
    startTask(*Start);
  } else if (const auto *Stop = std::get_if<companion::stop_task>(&Action)) {
    Endpoint->stop(Stop->Endpoint, Stop->Task);
  } else if (const auto *Dial = std::get_if<companion::dial_entry>(&Action)) {
    Network.dial(*this, Dial->Link, Dial->Address);
  } else if (const auto *Close = std::get_if<companion::close_link>(&Action)) {
    Network.close(*this, Close->Link);
  } else if (const auto *Timer = std::get_if<companion::wake_at>(&Action)) {
    Wake = Timer->At;
    after(Timer->At - getNow(), [this, At = Timer->At]() {
      if (Wake == At) {
        Wake.reset();
        handle(companion::timer_expired{});
      }
    });
  } else if (std::holds_alternative<companion::stop_finished>(Action)) {
    after({}, [this]() {
      Network.processEnded(*this, false);
      finishStop();
    });
  }
}

void companion_process::startTask(companion::start_task &Start) {
  const auto Done = [this, Life = getLife(),
                     Task = Start.Task](endpoint_outcome Outcome) {
    if (getLife() != Life) {
      return;
    }
    // The end comes by way of the loop, never within the call.
    World.Loop.after({}, [this, Life, Task, Outcome = std::move(Outcome)]() {
      if (getLife() != Life) {
        return;
      }
      deliver([this, Task, Taken = Outcome]() mutable {
        handle(std::visit(outcome_reader{Task}, Taken));
      });
    });
  };
  Endpoint->getClock().observe(getClock().next(getWallMicroseconds()),
                               Endpoint->getWallMicroseconds());
  Endpoint->run(Start.Endpoint,
                {.Task = Start.Task,
                 .Class = std::move(Start.Class),
                 .Input = std::move(Start.Input)},
                Done);
}

} // namespace crocuswood::replay
