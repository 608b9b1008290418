#include "entry_process.h"

#include <utility>

namespace crocuswood::replay {

namespace {

constexpr duration RowInterval = std::chrono::seconds(2);
constexpr duration RowLease = std::chrono::seconds(30);
constexpr duration PollInterval = std::chrono::seconds(2);
constexpr std::uint16_t OperatorsPort = 7001;
constexpr duration ClaimInterval = std::chrono::milliseconds(50);

} // namespace

entry_process::entry_process(world &World, const entry_description &Description,
                             entry::options Options, peer_address Address,
                             network &Network, fake_store &Store)
    : process(World, Description.Name, Description.Zone),
      Options(std::move(Options)), Address(std::move(Address)),
      Network(Network), Store(Store) {}

void entry_process::begin() {
  Options.Self = getId();
  Options.Zone = getZone();
  Options.Operators = {.Host = Address.Host, .Port = OperatorsPort};
  Options.Seed = World.Random.next();
  Wake.reset();
  Core = std::make_unique<entry::core>(Options);
  Table = std::make_unique<store_client>(Store, *this);
  Claims = std::make_unique<platform::claim_writer>(
      *Table, platform::claim_writer::limits(),
      [this](entry::claim_answered Answer) { handle(std::move(Answer)); },
      [this](const entry::claim_settled &Settled) { handle(Settled); });
  Registry = std::make_unique<platform::entry_registry>(
      *Table,
      platform::entry_row{.Name = getName(),
                          .Incarnation = getId().Incarnation,
                          .Links = Address,
                          .Operators = Options.Operators},
      RowLease, [this](const std::vector<platform::entry_row> &Rows) {
        entry::entries_read Event;
        for (const platform::entry_row &Row : Rows) {
          Event.Entries.push_back(Row.Links);
        }
        handle(std::move(Event));
      });
  Configurations = std::make_unique<platform::configuration_store>(
      *Table, [this](const configuration &Configuration) {
        handle(entry::configuration_read{Configuration});
      });
  handle(entry::entries_read{{Address}});
  refreshRows();
  pollConfiguration();
  advanceClaims();
}

void entry_process::end() {
  EarlierWasted += Core->getStatus().WastedMessages;
  Requests.clear();
}

void entry_process::refreshRows() {
  Registry->renew();
  Registry->refresh([this]() { return getNow(); });
  after(RowInterval, [this]() { refreshRows(); });
}

void entry_process::pollConfiguration() {
  Configurations->poll();
  after(PollInterval, [this]() { pollConfiguration(); });
}

void entry_process::advanceClaims() {
  Claims->advance(getNow());
  after(ClaimInterval, [this]() { advanceClaims(); });
}

void entry_process::submit(request_id Request, job_request Job,
                           answered Answered) {
  Requests[Request] = std::move(Answered);
  handle(entry::job_submitted{.Request = Request, .Job = std::move(Job)});
}

void entry_process::cancel(request_id Request) {
  if (Requests.contains(Request)) {
    handle(entry::job_cancelled{.Request = Request});
  }
}

void entry_process::change(const config::change &Change) {
  Configurations->change(Change, [this](const config::change_step &Step) {
    if (const auto *Accepted = std::get_if<config::change_accepted>(&Step)) {
      record({.Kind = event_kind::ConfigurationAccepted,
              .Value =
                  static_cast<std::int64_t>(Accepted->Configuration.Revision)});
    }
  });
}

void entry_process::requestStop() {
  record({.Kind = event_kind::ProcessStopping});
  handle(entry::stop_requested{});
}

bool entry_process::isReady() const {
  return isAlive() && Core->getStatus().Ready;
}

const configuration &entry_process::getConfiguration() const {
  return Core->getConfiguration();
}

std::uint64_t entry_process::countWasted() const {
  return EarlierWasted + (isAlive() ? Core->getStatus().WastedMessages : 0);
}

void entry_process::linkOpened(link_id Link, const peer_address & /*Remote*/) {
  handle(entry::link_opened{Link});
}

void entry_process::envelopeReceived(link_id Link, peer_envelope Envelope) {
  handle(entry::envelope_received{.Link = Link,
                                  .Messages = std::move(Envelope.Messages)});
}

void entry_process::linkClosed(link_id Link, const std::string &Reason) {
  handle(entry::link_closed{.Link = Link, .Reason = Reason});
}

void entry_process::handle(entry::event Event) {
  std::vector<entry::action> Actions;
  Core->handle(getNow(), std::move(Event), Actions);
  Core->flush(getNow(), Actions);
  apply(std::move(Actions));
}

void entry_process::apply(std::vector<entry::action> Actions) {
  for (entry::action &Action : Actions) {
    if (isAlive()) {
      apply(Action);
    }
  }
}

void entry_process::apply(entry::action &Action) {
  if (auto *Send = std::get_if<entry::send_messages>(&Action)) {
    Network.send(*this, Send->Link, std::move(Send->Messages));
  } else if (auto *Record = std::get_if<entry::record_event>(&Action)) {
    record(std::move(Record->Event));
  } else if (const auto *Answer = std::get_if<entry::answer_caller>(&Action)) {
    const auto Request = Requests.extract(Answer->Request);
    if (!Request.empty()) {
      Request.mapped()(Answer->Answer);
    }
  } else if (const auto *Close = std::get_if<entry::close_link>(&Action)) {
    Network.close(*this, Close->Link);
  } else if (auto *Ask = std::get_if<entry::ask_claim>(&Action)) {
    Claims->ask(std::move(*Ask), getNow());
    after({}, [this]() { Claims->advance(getNow()); });
  } else if (auto *Settle = std::get_if<entry::settle_claim>(&Action)) {
    Claims->settle(std::move(*Settle), getNow());
    after({}, [this]() { Claims->advance(getNow()); });
  } else if (const auto *Timer = std::get_if<entry::wake_at>(&Action)) {
    Wake = Timer->At;
    after(Timer->At - getNow(), [this, At = Timer->At]() {
      if (Wake == At) {
        Wake.reset();
        handle(entry::timer_expired{});
      }
    });
  } else if (std::holds_alternative<entry::stop_finished>(Action)) {
    after({}, [this]() {
      Network.processEnded(*this, false);
      finishStop();
    });
  }
}

} // namespace crocuswood::replay
