#include "server_connection.h"

namespace crocuswood::http {

namespace {

constexpr unsigned StatusNoContent = 204;
constexpr const char *ContinueLine = "HTTP/1.1 100 Continue\r\n\r\n";

/// Appends the whole message, header and body, to \p Output.
void appendMessage(std::string &Output, server_response Response,
                   bool KeepAlive) {
  beast_http::response<beast_http::string_body> Message(
      static_cast<beast_http::status>(Response.Status), 11);
  for (const auto &[Name, Value] : Response.Headers) {
    Message.set(Name, Value);
  }
  if (Response.Status == StatusNoContent) {
    Response.Body.clear();
  }
  if (!Response.Body.empty()) {
    Message.set(beast_http::field::content_type, Response.ContentType);
  }
  Message.keep_alive(KeepAlive);
  Message.body() = std::move(Response.Body);
  Message.prepare_payload();
  beast_http::response_serializer<beast_http::string_body> Serializer(Message);
  error_code Error;
  while (!Serializer.is_done()) {
    std::size_t Bytes = 0;
    Serializer.next(Error, [&](error_code &, const auto &Buffers) {
      for (const asio::const_buffer Part : beast::buffers_range_ref(Buffers)) {
        Output.append(static_cast<const char *>(Part.data()), Part.size());
        Bytes += Part.size();
      }
    });
    if (Error) {
      return;
    }
    Serializer.consume(Bytes);
  }
}

} // namespace

void server_connection::flush() {
  if (Closed || Writing || Lingering) {
    return;
  }
  while (appendNextAnswer()) {
  }
  if (Output.empty()) {
    return;
  }
  Writing = true;
  OutputWritten = 0;
  LastProgress = steady_clock::now();
  writeSome();
}

bool server_connection::appendNextAnswer() {
  if (FinalAnswer || Slots.empty() || !Slots.front().Response) {
    return false;
  }
  slot &Slot = Slots.front();
  RequestBytes -= Slot.RequestBytes;
  AnswerBytes -= Slot.AnswerBytes;
  if (Slot.Interim) {
    Output += ContinueLine;
  } else {
    FinalAnswer = closesAfter(Slot);
    // What comes behind a final answer is never taken.
    InputEnded = InputEnded || FinalAnswer;
    appendMessage(Output, std::move(*Slot.Response), !FinalAnswer);
  }
  Slots.pop_front();
  ++FirstSlot;
  return true;
}

void server_connection::writeSome() {
  const auto Rest = asio::buffer(Output) + OutputWritten;
  Socket.async_write_some(
      Rest, [Self = shared_from_this()](error_code Error, std::size_t Bytes) {
        Self->bytesWritten(Error, Bytes);
      });
}

void server_connection::bytesWritten(error_code Error, std::size_t Bytes) {
  if (Closed) {
    return;
  }
  if (Error) {
    close();
    return;
  }
  LastProgress = steady_clock::now();
  OutputWritten += Bytes;
  Moved += Bytes;
  if (OutputWritten < Output.size()) {
    writeSome();
    return;
  }
  Writing = false;
  Output.clear();
  if (Output.capacity() > HeaderReadBytes) {
    Output.shrink_to_fit();
  }
  if (FinalAnswer) {
    linger();
    account();
    return;
  }
  parseInput();
  flush();
  account();
  read();
  if (State.Draining) {
    closeIfIdle();
  }
}

bool server_connection::closesAfter(const slot &Slot) {
  if (!Slot.KeepAlive) {
    return true;
  }
  return (State.Stopping || State.Steering) && Slots.size() == 1 && !Parser &&
         Input.size() == 0 && !hasUnreadInput();
}

} // namespace crocuswood::http
