#include <crocuswood/platform.h>

#include <memory>
#include <utility>

namespace crocuswood::platform {

namespace {

config::change_event toEvent(store_status Status) {
  switch (Status) {
  case store_status::Done:
    return config::write_done{};
  case store_status::Conflict:
    return config::write_conflict{};
  case store_status::Refused:
    return config::write_refused{};
  case store_status::Unknown:
    return config::write_unknown{};
  }
  return config::write_unknown{};
}

row_write makeHeadWrite(const config::write_head &Step) {
  write_condition Condition{.Kind = write_condition::kind::IfAbsent};
  if (!Step.Version.empty()) {
    Condition = {.Kind = write_condition::kind::IfVersion,
                 .Version = Step.Version};
  }
  return {.Key = std::string(config::HeadKey),
          .Value = config::write(Step.Configuration),
          .Condition = Condition};
}

} // namespace

configuration_store::configuration_store(table_service &Table, read Read)
    : Table(Table), Read(std::move(Read)) {}

void configuration_store::poll() {
  Table.read(std::string(config::HeadKey), [this](const read_outcome &Outcome) {
    if (Outcome.Status != store_status::Done || !Outcome.Row ||
        Outcome.Row->Version == LastVersion) {
      return;
    }
    const auto Parsed = config::parseConfiguration(
        Outcome.Row->Value, std::string(config::HeadKey));
    const auto *Configuration = std::get_if<configuration>(&Parsed);
    if (Configuration == nullptr) {
      return;
    }
    LastVersion = Outcome.Row->Version;
    Read(*Configuration);
  });
}

void configuration_store::change(config::change Change, const ended &Ended) {
  auto Runner = std::make_shared<config::change_runner>(std::move(Change));
  carryOut(Runner, Runner->start(), Ended);
}

void configuration_store::carryOut(
    const std::shared_ptr<config::change_runner> &Runner,
    const config::change_step &Step, const ended &Ended) {
  const auto Continue = [this, Runner,
                         Ended](const config::change_event &Event) {
    carryOut(Runner, Runner->next(Event), Ended);
  };
  if (std::holds_alternative<config::read_head>(Step)) {
    readHead(Continue);
    return;
  }
  if (const auto *Write = std::get_if<config::write_head>(&Step)) {
    Table.write({makeHeadWrite(*Write)},
                [Continue](const std::vector<write_outcome> &Outcomes) {
                  Continue(toEvent(Outcomes.empty() ? store_status::Unknown
                                                    : Outcomes.front().Status));
                });
    return;
  }
  if (const auto *Accepted = std::get_if<config::change_accepted>(&Step)) {
    Read(Accepted->Configuration);
  }
  Ended(Step);
}

void configuration_store::readHead(
    std::function<void(config::change_event)> Done) {
  Table.read(std::string(config::HeadKey), [Done = std::move(Done)](
                                               const read_outcome &Outcome) {
    if (Outcome.Status != store_status::Done) {
      Done(config::head_read_failed{});
      return;
    }
    if (!Outcome.Row) {
      Done(config::head_read{});
      return;
    }
    auto Parsed = config::parseConfiguration(Outcome.Row->Value,
                                             std::string(config::HeadKey));
    auto *Configuration = std::get_if<configuration>(&Parsed);
    if (Configuration == nullptr) {
      Done(config::head_read_failed{});
      return;
    }
    Done(config::head_read{.Configuration = std::move(*Configuration),
                           .Version = Outcome.Row->Version});
  });
}

} // namespace crocuswood::platform
