#include "retained_ends.h"

#include <utility>

namespace crocuswood::companion {

namespace {

/// Memory of an end besides its bytes.
constexpr std::uint64_t OverheadBytes = 256;

struct byte_counter {
  std::uint64_t operator()(const task_completed &End) const {
    return End.Output.getBytes().size();
  }
  std::uint64_t operator()(const task_failed &End) const {
    return End.Reason.size();
  }
  std::uint64_t operator()(const task_not_started & /*End*/) const { return 0; }
  std::uint64_t operator()(const task_lost &End) const {
    return End.Reason.size();
  }
  std::uint64_t operator()(const task_stopped &End) const {
    return End.Reason.size();
  }
};

} // namespace

std::uint64_t countBytes(const task_end &End) {
  return OverheadBytes + std::visit(byte_counter(), End);
}

void retained_ends::add(const task_id &Task, task_end End) {
  remove(Task);
  Bytes += countBytes(End);
  Numbers.emplace(Task, NextNumber);
  Ends.emplace(NextNumber, retained_end{.Task = Task, .End = std::move(End)});
  ++NextNumber;
}

bool retained_ends::remove(const task_id &Task) {
  const auto Number = Numbers.find(Task);
  if (Number == Numbers.end()) {
    return false;
  }
  const auto Place = Ends.find(Number->second);
  Bytes -= countBytes(Place->second.End);
  Ends.erase(Place);
  Numbers.erase(Number);
  return true;
}

const task_end *retained_ends::find(const task_id &Task) const {
  const auto Number = Numbers.find(Task);
  return Number == Numbers.end() ? nullptr : &Ends.at(Number->second).End;
}

std::vector<task_id> retained_ends::listTasks() const {
  std::vector<task_id> Tasks;
  Tasks.reserve(Ends.size());
  for (const auto &[Number, Retained] : Ends) {
    Tasks.push_back(Retained.Task);
  }
  return Tasks;
}

} // namespace crocuswood::companion
