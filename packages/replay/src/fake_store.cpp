#include "fake_store.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace crocuswood::replay {

namespace {

/// A call without an answer ends as unknown after it.
constexpr duration CallLimit = std::chrono::seconds(1);

} // namespace

duration fake_store::getCallTime() const {
  return Present.Mode == store_mode::Slow ? Present.Span : CallTime;
}

write_outcome fake_store::write(const row_write &Write) {
  const auto Place = Rows.find(Write.Key);
  const bool Exists = Place != Rows.end();
  using kind = write_condition::kind;
  const bool Holds = Write.Condition.Kind == kind::Always ||
                     (Write.Condition.Kind == kind::IfAbsent && !Exists) ||
                     (Write.Condition.Kind == kind::IfVersion && Exists &&
                      Place->second.Version == Write.Condition.Version);
  if (!Holds) {
    return {.Status = store_status::Conflict};
  }
  if (!Write.Value) {
    Rows.erase(Write.Key);
    return {.Status = store_status::Done};
  }
  const std::string Version = std::to_string(NextVersion++);
  Rows[Write.Key] = {
      .Key = Write.Key, .Value = *Write.Value, .Version = Version};
  return {.Status = store_status::Done, .Version = Version};
}

read_outcome fake_store::read(const std::string &Key) const {
  const auto Place = Rows.find(Key);
  if (Place == Rows.end()) {
    return {.Status = store_status::Done};
  }
  return {.Status = store_status::Done, .Row = Place->second};
}

range_outcome fake_store::readRange(const std::string &Prefix) const {
  range_outcome Outcome{.Status = store_status::Done};
  for (auto Place = Rows.lower_bound(Prefix);
       Place != Rows.end() && Place->first.starts_with(Prefix); ++Place) {
    Outcome.Rows.push_back(Place->second);
  }
  return Outcome;
}

template <class Outcome>
void store_client::call(bool IsWrite, std::function<Outcome()> Take,
                        std::function<Outcome(store_status)> MakeFailure,
                        std::function<void(Outcome)> Done) {
  const store_mode Mode = Store.getFault().Mode;
  if (Mode == store_mode::Down) {
    Owner.after(Store.getCallTime(), [MakeFailure, Done = std::move(Done)]() {
      Done(MakeFailure(store_status::Refused));
    });
    return;
  }
  const duration Time = Store.getCallTime();
  const bool Answered =
      Time <= CallLimit && !(IsWrite && Mode == store_mode::LoseAnswers);
  auto Answer = std::make_shared<Outcome>(MakeFailure(store_status::Unknown));
  // It takes effect half way, also when its caller ends or freezes meanwhile.
  Store.getLoop().after(Time / 2, [Take = std::move(Take), Answer, Answered]() {
    Outcome Taken = Take();
    if (Answered) {
      *Answer = std::move(Taken);
    }
  });
  Owner.after(std::min(Time, CallLimit),
              [Answer, Done = std::move(Done)]() { Done(std::move(*Answer)); });
}

void store_client::read(const std::string &Key,
                        std::function<void(read_outcome)> Done) {
  call<read_outcome>(
      false, [Store = &Store, Key]() { return Store->read(Key); },
      [](store_status Status) { return read_outcome{.Status = Status}; },
      std::move(Done));
}

void store_client::readRange(const std::string &Prefix,
                             std::function<void(range_outcome)> Done) {
  call<range_outcome>(
      false, [Store = &Store, Prefix]() { return Store->readRange(Prefix); },
      [](store_status Status) { return range_outcome{.Status = Status}; },
      std::move(Done));
}

void store_client::write(std::vector<row_write> Writes,
                         std::function<void(std::vector<write_outcome>)> Done) {
  const std::size_t Count = Writes.size();
  call<std::vector<write_outcome>>(
      true,
      [Store = &Store, Writes = std::move(Writes)]() {
        std::vector<write_outcome> Outcomes;
        for (const row_write &Write : Writes) {
          Outcomes.push_back(Store->write(Write));
        }
        return Outcomes;
      },
      [Count](store_status Status) {
        return std::vector<write_outcome>(Count, {.Status = Status});
      },
      std::move(Done));
}

} // namespace crocuswood::replay
