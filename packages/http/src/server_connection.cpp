#include "server_connection.h"

#include <algorithm>

namespace crocuswood::http {

namespace {

constexpr std::size_t BodyReadBytes = 65'536;
constexpr std::size_t MaxReadAheadBytes = 65'536;
// A peer that reads its answers slowly gets no more requests taken meanwhile.
constexpr std::uint64_t MaxUnreadAnswerBytes = 262'144;
constexpr std::size_t MaxDiscardedBytes = 4'194'304;
constexpr std::chrono::seconds LingerLimit{1};
constexpr duration DrainRequestLimit = std::chrono::seconds(5);
constexpr unsigned StatusBadRequest = 400;
constexpr unsigned StatusTimeout = 408;
constexpr unsigned StatusBodyTooLarge = 413;
constexpr unsigned StatusHeaderTooLarge = 431;

unsigned statusOfFault(const error_code &Error) {
  if (Error == beast_http::error::body_limit) {
    return StatusBodyTooLarge;
  }
  if (Error == beast_http::error::header_limit) {
    return StatusHeaderTooLarge;
  }
  return StatusBadRequest;
}

} // namespace

server_connection::server_connection(tcp::socket Opened, server_state &State,
                                     connection_handler &Handler)
    : Socket(std::move(Opened)), State(State), Handler(&Handler),
      LastProgress(steady_clock::now()), RateBegan(LastProgress) {
  error_code Error;
  const auto Remote = Socket.remote_endpoint(Error);
  if (!Error) {
    Peer = Remote.address();
  }
}

server_connection::~server_connection() { closeAccount(); }

void server_connection::start() {
  openAccount();
  error_code Ignored;
  Socket.set_option(tcp::no_delay(true), Ignored);
  Socket.non_blocking(true, Ignored);
  read();
}

void server_connection::tag(slot_number Slot, std::uint64_t Tag) {
  if (Slot >= FirstSlot && Slot - FirstSlot < Slots.size()) {
    Slots[Slot - FirstSlot].Tag = Tag;
  }
}

void server_connection::respond(slot_number Slot, server_response Response) {
  if (Closed || Slot < FirstSlot || Slot - FirstSlot >= Slots.size()) {
    return;
  }
  slot &Target = Slots[Slot - FirstSlot];
  Target.Tag = 0;
  if (!Target.Response) {
    Target.Response = std::move(Response);
    RequestBytes -= std::exchange(Target.RequestBytes, 0);
    Target.AnswerBytes = Target.Response->Body.capacity();
    AnswerBytes += Target.AnswerBytes;
  }
  if (!Parsing) {
    flush();
    account();
  }
}

void server_connection::checkTime(steady_clock::time_point Now) {
  if (Closed) {
    return;
  }
  const auto Silent = Now - LastProgress;
  if (Lingering) {
    if (Silent > LingerLimit) {
      close();
    }
    return;
  }
  const bool Stalled = isStalled(Now);
  if (Writing) {
    if (Silent > State.Limits.IdleLimit) {
      close();
    } else if (Stalled && Output.size() > MaxUnreadAnswerBytes) {
      State.Memory->count(budget_cause::Slow);
      close();
    }
    return;
  }
  const bool TakesInput = Slots.size() < State.Limits.MaxPipelined;
  if (Parser && !InputEnded && TakesInput) {
    if (Now - RequestBegan > requestLimit()) {
      State.Memory->count(budget_cause::Late);
      rejectFault(StatusTimeout, "The request did not arrive in time.");
      flush();
      account();
    } else if (Stalled) {
      dropUnfinished(budget_cause::Slow);
    }
    return;
  }
  if (Silent > State.Limits.IdleLimit) {
    closeIfIdle();
  }
}

void server_connection::rejectAtOnce(unsigned Status,
                                     const std::string &Reason) {
  rejectFault(Status, Reason);
  flush();
}

void server_connection::read() {
  const std::size_t Bound = MaxReadAheadBytes + State.Limits.MaxHeaderBytes;
  if (Closed || Reading || Input.size() >= Bound ||
      Discarded > MaxDiscardedBytes) {
    return;
  }
  Reading = true;
  // A connection that waits for input holds no buffer for it.
  Socket.async_wait(tcp::socket::wait_read,
                    [Self = shared_from_this()](error_code Error) {
                      Self->Reading = false;
                      Self->takeReady(Error);
                    });
}

void server_connection::takeReady(error_code Error) {
  if (Closed) {
    return;
  }
  std::size_t Bytes = 0;
  if (!Error) {
    const bool BeginsRequest = !Parser && !InputEnded && Input.size() == 0;
    Bytes = Socket.read_some(
        Input.prepare(BeginsRequest ? HeaderReadBytes : BodyReadBytes), Error);
  }
  if (Error == asio::error::would_block) {
    releaseInput();
    read();
    return;
  }
  bytesRead(Error, Bytes);
}

void server_connection::bytesRead(error_code Error, std::size_t Bytes) {
  if (Closed) {
    return;
  }
  if (Error) {
    peerClosed();
    return;
  }
  if (InputEnded) {
    Discarded += Bytes;
    releaseInput();
    read();
    return;
  }
  Input.commit(Bytes);
  Moved += Bytes;
  LastProgress = steady_clock::now();
  parseInput();
  flush();
  account();
  read();
  if (Parser) {
    State.Memory->relieve();
  }
}

void server_connection::parseInput() {
  Parsing = true;
  while (!Closed && !InputEnded && Input.size() > 0 &&
         Slots.size() < State.Limits.MaxPipelined &&
         AnswerBytes + Output.size() <= MaxUnreadAnswerBytes) {
    if (!parseSome()) {
      break;
    }
  }
  Parsing = false;
  if (InputEnded) {
    Input.clear();
  }
  releaseInput();
  if (std::exchange(DropAsked, false)) {
    dropUnfinished(budget_cause::Dropped);
  }
}

bool server_connection::parseSome() {
  if (!Parser) {
    Parser.emplace();
    Parser->eager(true);
    Parser->header_limit(State.Limits.MaxHeaderBytes);
    Parser->body_limit(State.Limits.MaxBodyBytes);
    HeaderSeen = false;
    HeadInput = 0;
    HeadBytes = 0;
    RequestBegan = LastProgress;
    RateBegan = LastProgress;
    Moved = 0;
  }
  error_code Error;
  const std::size_t Bytes = Parser->put(Input.data(), Error);
  Input.consume(Bytes);
  if (!HeaderSeen) {
    HeadInput += Bytes;
  }
  if (Error && Error != beast_http::error::need_more) {
    rejectFault(statusOfFault(Error), Error.message());
    return false;
  }
  if (Parser->is_done()) {
    requestComplete();
    return true;
  }
  if (!headerComplete()) {
    return false;
  }
  return Bytes > 0 && !Error;
}

// Acts once, when the header is there and the body is not yet.
bool server_connection::headerComplete() {
  if (HeaderSeen || !Parser->is_header_done()) {
    return true;
  }
  HeaderSeen = true;
  HeadInput = std::min<std::uint64_t>(HeadInput, State.Limits.MaxHeaderBytes);
  HeadBytes = measureHead();
  continueIfExpected();
  return true;
}

void server_connection::dropParser() { Parser.reset(); }

// A stop doesn't wait long for a request that stalls half-way.
duration server_connection::requestLimit() const {
  return State.Draining ? std::min(State.Limits.IdleLimit, DrainRequestLimit)
                        : State.Limits.IdleLimit;
}

void server_connection::continueIfExpected() {
  const auto Expected = Parser->get()[beast_http::field::expect];
  if (!beast::iequals(Expected, "100-continue")) {
    return;
  }
  slot &Slot = Slots.emplace_back();
  Slot.Interim = true;
  Slot.Response.emplace();
}

void server_connection::requestComplete() {
  server_request Request = Parser->release();
  dropParser();
  slot &Slot = Slots.emplace_back();
  // The answer to HEAD would be taken for one without a body.
  const bool IsHead = Request.method() == beast_http::verb::head;
  Slot.KeepAlive = Request.keep_alive() && !IsHead;
  InputEnded = !Slot.KeepAlive;
  Slot.RequestBytes = Request.body().capacity();
  RequestBytes += Slot.RequestBytes;
  const slot_number Number = FirstSlot + Slots.size() - 1;
  if (!makeRoom(Slot.RequestBytes)) {
    refuseWhole(Number);
    return;
  }
  Handler->requestReceived(*this, Number, std::move(Request));
}

void server_connection::rejectFault(unsigned Status,
                                    const std::string &Reason) {
  dropParser();
  InputEnded = true;
  slot &Slot = Slots.emplace_back();
  Slot.KeepAlive = false;
  Slot.Response = Handler->rejectInput(Status, Reason);
}

} // namespace crocuswood::http
