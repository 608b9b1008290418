#include "platform/platform_server.h"

#include <nlohmann/json.hpp>

namespace crocuswood::stand_ins {

namespace {

using nlohmann::json;

constexpr std::string_view RowsPath = "/v1/rows/";
constexpr std::string_view ObjectsPath = "/v1/objects/";

http::plain_response fault(unsigned Status, const char *Code) {
  return answer(Status, json{{"error", Code}}.dump());
}

std::string textOf(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string()) {
    return "";
  }
  return Found->get<std::string>();
}

std::string headerOf(const http::plain_request &Request, const char *Name) {
  const auto Found = Request.Headers.find(Name);
  return Found == Request.Headers.end() ? "" : Found->second;
}

} // namespace

platform_server::platform_server(boost::asio::io_context &Context)
    : Context(Context),
      Server(Context, {.MaxBodyBytes = 64U * 1024 * 1024},
             [this](const http::plain_request &Request, const respond &Answer) {
               serve(Request, Answer);
             }) {}

void platform_server::serve(const http::plain_request &Request,
                            const respond &Respond) {
  if (Request.Path == "/control") {
    Respond(Request.Method == "POST" ? control(Request) : counts());
    return;
  }
  if (Fault == fault::None) {
    Respond(apply(Request));
    return;
  }
  serveFaulty(Request, Respond);
}

void platform_server::serveFaulty(const http::plain_request &Request,
                                  const respond &Respond) {
  if (Fault == fault::Down) {
    ++Refused;
    Respond(stand_ins::fault(503, "unavailable"));
    return;
  }
  if (Fault == fault::Closing) {
    ++Refused;
    Respond({.Status = http::CloseWithoutAnswer});
    return;
  }
  http::plain_response Response = apply(Request);
  if (Fault == fault::LoseAnswers && Request.Method != "GET") {
    Response.Status = http::CloseWithoutAnswer;
  }
  respondLater(Respond, std::move(Response));
}

void platform_server::respondLater(const respond &Respond,
                                   http::plain_response Response) {
  if (Delay.count() == 0) {
    Respond(std::move(Response));
    return;
  }
  auto Timer = std::make_shared<boost::asio::steady_timer>(Context, Delay);
  Timer->async_wait(
      [Timer, Respond, Response = std::move(Response)](
          const boost::system::error_code &) { Respond(Response); });
}

http::plain_response
platform_server::control(const http::plain_request &Request) {
  static const std::map<std::string, fault> Faults = {
      {"ok", fault::None},
      {"down", fault::Down},
      {"closing", fault::Closing},
      {"slow", fault::Slow},
      {"lose_answers", fault::LoseAnswers}};
  const json Body = json::parse(Request.Body, nullptr, false);
  if (!Body.is_object()) {
    return stand_ins::fault(400, "invalid");
  }
  const std::string Mode = textOf(Body, "mode");
  const auto Found = Faults.find(Mode);
  const json DelayValue = Body.value("delay_ms", json(0U));
  if (Found == Faults.end() || !DelayValue.is_number_unsigned()) {
    return stand_ins::fault(400, "invalid");
  }
  Fault = Found->second;
  FaultName = Mode;
  Delay = std::chrono::milliseconds(DelayValue.get<std::uint32_t>());
  return counts();
}

http::plain_response platform_server::counts() const {
  return answer(200, json{{"mode", FaultName},
                          {"delay_ms", Delay.count()},
                          {"reads", Reads},
                          {"writes", Writes},
                          {"rows_written", RowsWritten},
                          {"refused", Refused}}
                         .dump());
}

http::plain_response
platform_server::apply(const http::plain_request &Request) {
  const std::string_view Path = Request.Path;
  if (Path == "/v1/rows") {
    return readRange(Request);
  }
  if (Path == "/v1/batch") {
    return writeBatch(Request);
  }
  if (Path.starts_with(RowsPath)) {
    const std::string Key(Path.substr(RowsPath.size()));
    return Request.Method == "GET" ? readRow(Key) : writeRow(Request, Key);
  }
  if (Path.starts_with(ObjectsPath)) {
    return serveObject(Request);
  }
  return stand_ins::fault(404, "not_found");
}

http::plain_response platform_server::readRow(const std::string &Key) {
  ++Reads;
  const stored_row *Row = Rows.find(Key);
  if (Row == nullptr) {
    return stand_ins::fault(404, "not_found");
  }
  return {
      .Status = 200, .Body = Row->Value, .Headers = {{"ETag", Row->getEtag()}}};
}

http::plain_response
platform_server::readRange(const http::plain_request &Request) {
  ++Reads;
  const auto Prefix = Request.Query.find("prefix");
  json Items = json::array();
  for (const auto &[Key, Row] :
       Rows.range(Prefix == Request.Query.end() ? "" : Prefix->second)) {
    Items.push_back(
        {{"key", Key}, {"value", Row.Value}, {"etag", Row.getEtag()}});
  }
  return answer(200, json{{"rows", std::move(Items)}}.dump());
}

http::plain_response
platform_server::writeRow(const http::plain_request &Request,
                          const std::string &Key) {
  if (Request.Method != "PUT" && Request.Method != "DELETE") {
    return stand_ins::fault(405, "method_not_allowed");
  }
  ++Writes;
  ++RowsWritten;
  const precondition Condition{.IfMatch = headerOf(Request, "if-match"),
                               .IfNoneMatch =
                                   headerOf(Request, "if-none-match")};
  std::optional<std::string> Value;
  if (Request.Method == "PUT") {
    Value = Request.Body;
  }
  const write_result Result = Rows.write(Key, std::move(Value), Condition);
  http::plain_response Response{.Status = Result.Status};
  if (!Result.Etag.empty()) {
    Response.Headers["ETag"] = Result.Etag;
  }
  return Response;
}

http::plain_response
platform_server::writeBatch(const http::plain_request &Request) {
  const json Items = json::parse(Request.Body, nullptr, false);
  if (!Items.is_array()) {
    return stand_ins::fault(400, "invalid");
  }
  ++Writes;
  json Results = json::array();
  for (const json &Item : Items) {
    if (!Item.is_object() || textOf(Item, "key").empty()) {
      Results.push_back({{"status", 400U}});
      continue;
    }
    ++RowsWritten;
    std::optional<std::string> Value;
    if (Item.contains("value") && Item["value"].is_string()) {
      Value = Item["value"].get<std::string>();
    }
    const write_result Result =
        Rows.write(textOf(Item, "key"), std::move(Value),
                   {.IfMatch = textOf(Item, "if_match"),
                    .IfNoneMatch = textOf(Item, "if_none_match")});
    Results.push_back({{"status", Result.Status}, {"etag", Result.Etag}});
  }
  return answer(200, Results.dump());
}

http::plain_response
platform_server::serveObject(const http::plain_request &Request) {
  const std::string Name = Request.Path.substr(ObjectsPath.size());
  if (Request.Method == "PUT") {
    ++Writes;
    Objects[Name] = Request.Body;
    return {.Status = 200};
  }
  ++Reads;
  const auto Found = Objects.find(Name);
  if (Found == Objects.end()) {
    return stand_ins::fault(404, "not_found");
  }
  return {.ContentType = "application/octet-stream", .Body = Found->second};
}

} // namespace crocuswood::stand_ins
