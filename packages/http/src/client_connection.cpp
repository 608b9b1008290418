#include "client_connection.h"

#include <algorithm>
#include <cctype>

#include <sys/socket.h>

namespace crocuswood::http {

namespace {

constexpr std::uint64_t MaxReplyBytes = 64ULL * 1024 * 1024;
constexpr std::uint32_t MaxReplyHeaderBytes = 64U * 1024;

std::string lowerCase(boost::string_view Text) {
  std::string Result(Text.data(), Text.size());
  std::transform(Result.begin(), Result.end(), Result.begin(),
                 [](unsigned char Character) {
                   return static_cast<char>(std::tolower(Character));
                 });
  return Result;
}

plain_response toPlain(beast_http::response<beast_http::string_body> Response) {
  plain_response Result{.Status = Response.result_int(), .ContentType = ""};
  for (const auto &Field : Response) {
    Result.Headers[lowerCase(Field.name_string())] =
        std::string(Field.value().data(), Field.value().size());
  }
  Result.ContentType = Result.Headers["content-type"];
  Result.Body = std::move(Response.body());
  return Result;
}

} // namespace

client_connection::client_connection(asio::io_context &Context,
                                     const peer_address &Server)
    : Socket(Context), Timer(Context), Server(Server) {}

void client_connection::exchange(client_request Outgoing,
                                 steady_clock::time_point Deadline, done Then) {
  ++Exchange;
  Request = std::move(Outgoing);
  Done = std::move(Then);
  startTimer(Deadline);
  if (Connected) {
    write();
    return;
  }
  connect();
}

bool client_connection::isReusable() {
  if (!Connected || Stage != stage::Idle) {
    return false;
  }
  char Byte = 0;
  const auto Received =
      ::recv(Socket.native_handle(), &Byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return Received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void client_connection::close() {
  ++Exchange;
  Done = nullptr;
  Connected = false;
  Stage = stage::Idle;
  Timer.cancel();
  error_code Ignored;
  Socket.close(Ignored);
}

void client_connection::startTimer(steady_clock::time_point Deadline) {
  Timer.expires_at(Deadline);
  Timer.async_wait(
      [Self = shared_from_this(), Number = Exchange](error_code Aborted) {
        if (Aborted || Self->Exchange != Number) {
          return;
        }
        const auto Kind = Self->Stage == stage::Connecting
                              ? plain_reply::kind::NotWritten
                              : plain_reply::kind::Lost;
        Self->fail(Kind, "the time limit passed");
      });
}

void client_connection::connect() {
  Stage = stage::Connecting;
  error_code Error;
  const auto Number = asio::ip::make_address(Server.Host, Error);
  if (Error) {
    asio::post(Socket.get_executor(),
               [Self = shared_from_this(), Exchange = Exchange, Error] {
                 if (Self->Exchange == Exchange) {
                   Self->fail(plain_reply::kind::NotWritten, Error.message());
                 }
               });
    return;
  }
  Socket.async_connect(
      tcp::endpoint(Number, Server.Port),
      [Self = shared_from_this(), Exchange = Exchange](error_code Failure) {
        if (Self->Exchange != Exchange) {
          return;
        }
        if (Failure) {
          Self->fail(plain_reply::kind::NotWritten, Failure.message(),
                     Failure == asio::error::connection_refused);
          return;
        }
        Self->Connected = true;
        error_code Ignored;
        Self->Socket.set_option(tcp::no_delay(true), Ignored);
        Self->write();
      });
}

void client_connection::write() {
  Stage = stage::Writing;
  beast_http::async_write(Socket, Request,
                          [Self = shared_from_this(), Exchange = Exchange](
                              error_code Error, std::size_t Bytes) {
                            if (Self->Exchange == Exchange) {
                              Self->written(Error, Bytes);
                            }
                          });
}

void client_connection::written(error_code Error, std::size_t Bytes) {
  if (!Error) {
    read();
    return;
  }
  const auto Kind =
      Bytes == 0 ? plain_reply::kind::NotWritten : plain_reply::kind::Lost;
  fail(Kind, Error.message());
}

void client_connection::read() {
  Stage = stage::Reading;
  Parser.emplace();
  Parser->body_limit(MaxReplyBytes);
  Parser->header_limit(MaxReplyHeaderBytes);
  beast_http::async_read(Socket, Input, *Parser,
                         [Self = shared_from_this(),
                          Exchange = Exchange](error_code Error, std::size_t) {
                           if (Self->Exchange == Exchange) {
                             Self->answered(Error);
                           }
                         });
}

void client_connection::answered(error_code Error) {
  if (Error) {
    fail(plain_reply::kind::Lost, Error.message());
    return;
  }
  auto Response = Parser->release();
  // Nothing refers to these any more. After a failure they stay until the
  // operation that was cancelled has let go of them.
  Request = {};
  Parser.reset();
  const bool KeepsOpen = Response.keep_alive() && Input.size() == 0;
  if (!KeepsOpen) {
    Connected = false;
    error_code Ignored;
    Socket.close(Ignored);
  }
  finish({.Kind = plain_reply::kind::Answered,
          .Response = toPlain(std::move(Response))});
}

void client_connection::fail(plain_reply::kind Kind, std::string Reason,
                             bool Refused) {
  Connected = false;
  error_code Ignored;
  Socket.close(Ignored);
  finish({.Kind = Kind, .Reason = std::move(Reason), .Refused = Refused});
}

void client_connection::finish(plain_reply Reply) {
  ++Exchange;
  Stage = stage::Idle;
  Timer.cancel();
  const done Then = std::exchange(Done, nullptr);
  Then(std::move(Reply));
}

} // namespace crocuswood::http
