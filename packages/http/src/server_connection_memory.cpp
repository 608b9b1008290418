#include "server_connection.h"

#include <algorithm>
#include <iterator>

namespace crocuswood::http {

namespace {

// What a parsed field takes beside its own bytes.
constexpr std::uint64_t FieldOverhead = 80;
// The same for each byte of a head that has not arrived wholly, whose fields
// are not counted one by one. The fields of usual heads take less.
constexpr std::uint64_t HeadOverhead = 4;
// The least rate of a request or an answer, measured over RateInterval. It
// counts only while memory is short.
constexpr std::uint64_t LeastBytesPerInterval = 3'072;
constexpr duration RateInterval = std::chrono::seconds(3);
constexpr unsigned StatusUnavailable = 503;

const char *explainDrop(budget_cause Cause) {
  switch (Cause) {
  case budget_cause::Slow:
    return "The request arrives too slowly while memory is short.";
  case budget_cause::Displaced:
    return "Too many connections are open.";
  default:
    return "Too many requests arrive at once.";
  }
}

} // namespace

void server_connection::openAccount() {
  Holder =
      State.Memory->open(Peer.to_string(), [Weak = weak_from_this(),
                                            Executor = Socket.get_executor()] {
        asio::dispatch(Executor, [Weak] {
          if (const auto Self = Weak.lock()) {
            Self->dropUnfinished(budget_cause::Dropped);
          }
        });
      });
}

void server_connection::closeAccount() {
  if (Holder != 0) {
    State.Memory->close(std::exchange(Holder, 0));
  }
}

std::uint64_t server_connection::measureInput() const {
  // What has been read is parsed before the next read of this thread, so the
  // rest of the buffer is free again by then.
  return Parsing ? Input.size() : Input.capacity();
}

std::uint64_t server_connection::measureHead() const {
  const auto &Fields = Parser->get();
  const auto Count = std::distance(Fields.begin(), Fields.end());
  return HeadInput + static_cast<std::uint64_t>(Count) * FieldOverhead;
}

void server_connection::account() {
  if (Holder == 0) {
    return;
  }
  const bool Unfinished = Parser.has_value();
  const bool InBody = Unfinished && Parser->is_header_done();
  const std::uint64_t Head =
      HeadBytes > 0 ? HeadBytes : HeadInput * HeadOverhead;
  const buffer_sizes Held = {
      measureInput() + (Unfinished ? Head : 0),
      InBody ? Parser->get().body().capacity() : 0, RequestBytes,
      AnswerBytes + (Output.empty() ? 0 : Output.capacity()), 0};
  if (Held != Accounted || Unfinished != AccountedUnfinished) {
    Accounted = Held;
    AccountedUnfinished = Unfinished;
    State.Memory->set(Holder, Held, Unfinished);
  }
}

// Nothing of the request has run: it was never whole.
void server_connection::dropUnfinished(budget_cause Cause) {
  if (Parsing) {
    DropAsked = true;
    return;
  }
  if (Closed || !Parser || InputEnded) {
    return;
  }
  State.Memory->count(Cause);
  rejectFault(StatusUnavailable, explainDrop(Cause));
  Input.clear();
  releaseInput();
  flush();
  account();
}

void server_connection::releaseInput() {
  if (Input.size() == 0) {
    Input.shrink_to_fit();
  }
}

// Looks at whole intervals, so that a peer that pauses is not taken for a slow
// one.
bool server_connection::isStalled(steady_clock::time_point Now) {
  if (Now - RateBegan < RateInterval) {
    return false;
  }
  RateBegan = Now;
  const std::uint64_t Bytes = std::exchange(Moved, 0);
  return Bytes < LeastBytesPerInterval && State.Memory->isShort() &&
         (Writing || Now - RequestBegan >= RateInterval);
}

// Unfinished requests of others give way to a whole one.
bool server_connection::makeRoom(std::uint64_t Bytes) {
  account();
  if (State.Memory->admits(Bytes)) {
    return true;
  }
  State.Memory->relieve();
  return State.Memory->admits(Bytes);
}

// The request is dropped before anybody has seen it.
void server_connection::refuseWhole(slot_number Slot) {
  State.Memory->count(budget_cause::Refused);
  InputEnded = true;
  Slots[Slot - FirstSlot].KeepAlive = false;
  respond(Slot, Handler->rejectInput(StatusUnavailable,
                                     "Too many requests wait for answers."));
}

} // namespace crocuswood::http
