/// \file
/// A table service in memory that can fail in every way the port allows.
#pragma once

#include <crocuswood/ports.h>

#include <deque>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::platform {

/// Answers at once, unless held back.
class fake_table : public table_service {
public:
  enum class mode { Up, Down, LoseAnswers, LoseRequests };

  void read(const std::string &Key,
            std::function<void(read_outcome)> Done) override {
    ++Reads;
    if (Mode == mode::Down) {
      Done({.Status = store_status::Refused});
      return;
    }
    const auto Row = Rows.find(Key);
    if (Row == Rows.end()) {
      Done({.Status = store_status::Done});
      return;
    }
    Done({.Status = store_status::Done, .Row = Row->second});
  }

  void readRange(const std::string &Prefix,
                 std::function<void(range_outcome)> Done) override {
    if (Mode == mode::Down) {
      Done({.Status = store_status::Refused});
      return;
    }
    range_outcome Outcome{.Status = store_status::Done};
    for (const auto &[Key, Row] : Rows) {
      if (Key.starts_with(Prefix)) {
        Outcome.Rows.push_back(Row);
      }
    }
    Done(Outcome);
  }

  void write(std::vector<row_write> Writes,
             std::function<void(std::vector<write_outcome>)> Done) override {
    ++Requests;
    std::vector<write_outcome> Outcomes;
    Outcomes.reserve(Writes.size());
    for (const row_write &Write : Writes) {
      Outcomes.push_back(writeOne(Write));
    }
    if (Hold) {
      Held.emplace_back([Outcomes, Done = std::move(Done)] { Done(Outcomes); });
      return;
    }
    Done(Outcomes);
  }

  mode Mode = mode::Up;
  bool Hold = false;
  std::deque<std::function<void()>> Held;
  std::map<std::string, row> Rows;
  int Reads = 0;
  int Requests = 0;

private:
  write_outcome writeOne(const row_write &Write) {
    if (Mode == mode::Down) {
      return {.Status = store_status::Refused};
    }
    if (Mode == mode::LoseRequests) {
      return {.Status = store_status::Unknown};
    }
    const store_status Status = applyOne(Write);
    if (Mode == mode::LoseAnswers) {
      return {.Status = store_status::Unknown};
    }
    return {.Status = Status, .Version = std::to_string(Version)};
  }

  store_status applyOne(const row_write &Write) {
    const auto Row = Rows.find(Write.Key);
    const bool Exists = Row != Rows.end();
    if (Write.Condition.Kind == write_condition::kind::IfAbsent && Exists) {
      return store_status::Conflict;
    }
    if (Write.Condition.Kind == write_condition::kind::IfVersion &&
        (!Exists || Row->second.Version != Write.Condition.Version)) {
      return store_status::Conflict;
    }
    if (!Write.Value) {
      Rows.erase(Write.Key);
      return store_status::Done;
    }
    Rows[Write.Key] = {.Key = Write.Key,
                       .Value = *Write.Value,
                       .Version = std::to_string(++Version)};
    return store_status::Done;
  }

  int Version = 0;
};

} // namespace crocuswood::platform
