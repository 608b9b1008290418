#include <crocuswood/http.h>

#include <nlohmann/json.hpp>

#include <utility>

namespace crocuswood::http {

namespace {

using nlohmann::json;

constexpr std::uint32_t MaxConnections = 64;
constexpr unsigned StatusOk = 200;
constexpr unsigned StatusLastSuccess = 299;
constexpr unsigned StatusFirstClientError = 400;
constexpr unsigned StatusFirstServerError = 500;
constexpr unsigned StatusTimeout = 408;
constexpr unsigned StatusNotFound = 404;
constexpr unsigned StatusConflict = 412;
constexpr unsigned StatusUnavailable = 503;

store_status statusOf(unsigned Status) {
  if (Status >= StatusOk && Status <= StatusLastSuccess) {
    return store_status::Done;
  }
  if (Status == StatusConflict) {
    return store_status::Conflict;
  }
  const bool ClientError =
      Status >= StatusFirstClientError && Status < StatusFirstServerError;
  if (Status == StatusUnavailable || (ClientError && Status != StatusTimeout)) {
    return store_status::Refused;
  }
  return store_status::Unknown;
}

store_status statusOf(const plain_reply &Reply) {
  switch (Reply.Kind) {
  case plain_reply::kind::NotWritten:
    return store_status::Refused;
  case plain_reply::kind::Lost:
    return store_status::Unknown;
  case plain_reply::kind::Answered:
    return statusOf(Reply.Response.Status);
  }
  return store_status::Unknown;
}

bool isMissing(const plain_reply &Reply) {
  return Reply.Kind == plain_reply::kind::Answered &&
         Reply.Response.Status == StatusNotFound;
}

std::string header(const plain_response &Response, const char *Name) {
  const auto Found = Response.Headers.find(Name);
  return Found == Response.Headers.end() ? "" : Found->second;
}

/// \returns nothing for other JSON than a string.
const std::string *text(const json &Object, const char *Key) {
  const auto Found = Object.find(Key);
  if (Found == Object.end() || !Found->is_string()) {
    return nullptr;
  }
  return &Found->get_ref<const std::string &>();
}

read_outcome toRead(const std::string &Key, plain_reply Reply) {
  if (isMissing(Reply)) {
    return {.Status = store_status::Done};
  }
  const store_status Status = statusOf(Reply);
  if (Status != store_status::Done) {
    return {.Status = Status};
  }
  const std::string Version = header(Reply.Response, "etag");
  if (Reply.Response.Status != StatusOk || Version.empty()) {
    return {.Status = store_status::Unknown};
  }
  return {.Status = store_status::Done,
          .Row = row{.Key = Key,
                     .Value = std::move(Reply.Response.Body),
                     .Version = Version}};
}

range_outcome toRange(const plain_reply &Reply) {
  range_outcome Outcome{.Status = statusOf(Reply)};
  if (Outcome.Status != store_status::Done) {
    return Outcome;
  }
  const json Root = json::parse(Reply.Response.Body, nullptr, false);
  if (!Root.is_object() || !Root.contains("rows") || !Root["rows"].is_array()) {
    return {.Status = store_status::Unknown};
  }
  for (const json &Item : Root["rows"]) {
    if (!Item.is_object()) {
      return {.Status = store_status::Unknown};
    }
    const std::string *Key = text(Item, "key");
    const std::string *Value = text(Item, "value");
    const std::string *Version = text(Item, "etag");
    if (Key == nullptr || Value == nullptr || Version == nullptr) {
      return {.Status = store_status::Unknown};
    }
    Outcome.Rows.push_back({.Key = *Key, .Value = *Value, .Version = *Version});
  }
  std::sort(
      Outcome.Rows.begin(), Outcome.Rows.end(),
      [](const row &Left, const row &Right) { return Left.Key < Right.Key; });
  return Outcome;
}

/// \returns one write of a batch, or nothing if its text is not UTF-8.
std::optional<std::string> writeItem(const row_write &Write) {
  json Item = {{"key", Write.Key}, {"value", nullptr}};
  if (Write.Value) {
    Item["value"] = *Write.Value;
  }
  if (Write.Condition.Kind == write_condition::kind::IfAbsent) {
    Item["if_none_match"] = "*";
  } else if (Write.Condition.Kind == write_condition::kind::IfVersion) {
    Item["if_match"] = Write.Condition.Version;
  }
  try {
    return Item.dump();
  } catch (const json::type_error &) {
    return std::nullopt;
  }
}

write_outcome toWrite(const json &Item) {
  if (!Item.is_object() || !Item.contains("status") ||
      !Item["status"].is_number_unsigned()) {
    return {.Status = store_status::Unknown};
  }
  write_outcome Outcome{.Status = statusOf(Item["status"].get<unsigned>())};
  const std::string *Version = text(Item, "etag");
  if (Outcome.Status == store_status::Done && Version != nullptr) {
    Outcome.Version = *Version;
  }
  return Outcome;
}

/// A batch and which of its writes could be sent.
struct batch {
  std::string Body;
  std::vector<bool> Sent;
  std::size_t SentCount = 0;
};

batch writeBatch(const std::vector<row_write> &Writes) {
  batch Batch;
  Batch.Body = "[";
  for (const row_write &Write : Writes) {
    const auto Item = writeItem(Write);
    Batch.Sent.push_back(Item.has_value());
    if (!Item) {
      continue;
    }
    Batch.Body += Batch.SentCount == 0 ? "" : ",";
    Batch.Body += *Item;
    ++Batch.SentCount;
  }
  Batch.Body += ']';
  return Batch;
}

std::vector<write_outcome> toWrites(const batch &Batch,
                                    const plain_reply &Reply) {
  store_status Status = statusOf(Reply);
  json Items;
  if (Status == store_status::Done) {
    Items = json::parse(Reply.Response.Body, nullptr, false);
    if (!Items.is_array() || Items.size() != Batch.SentCount) {
      Status = store_status::Unknown;
    }
  }
  std::vector<write_outcome> Outcomes;
  std::size_t Next = 0;
  for (const bool Sent : Batch.Sent) {
    if (!Sent) {
      Outcomes.push_back({.Status = store_status::Refused});
    } else if (Status != store_status::Done) {
      Outcomes.push_back({.Status = Status});
    } else {
      Outcomes.push_back(toWrite(Items[Next]));
      ++Next;
    }
  }
  return Outcomes;
}

} // namespace

/// The service's address and the connections to it.
class platform_client::implementation {
public:
  implementation(boost::asio::io_context &Context, peer_address Platform,
                 duration TimeLimit)
      : Platform(std::move(Platform)),
        Client(Context, MaxConnections, TimeLimit) {}

  void send(plain_request Request, std::function<void(plain_reply)> Done) {
    Client.send(Platform, std::move(Request), std::move(Done));
  }

private:
  peer_address Platform;
  plain_client Client;
};

platform_client::platform_client(boost::asio::io_context &Context,
                                 peer_address Platform, duration TimeLimit)
    : Impl(std::make_unique<implementation>(Context, std::move(Platform),
                                            TimeLimit)) {}

platform_client::~platform_client() = default;

void platform_client::read(const std::string &Key,
                           std::function<void(read_outcome)> Done) {
  Impl->send({.Method = "GET", .Path = "/v1/rows/" + Key},
             [Key, Done = std::move(Done)](plain_reply Reply) {
               Done(toRead(Key, std::move(Reply)));
             });
}

void platform_client::readRange(const std::string &Prefix,
                                std::function<void(range_outcome)> Done) {
  Impl->send(
      {.Method = "GET", .Path = "/v1/rows", .Query = {{"prefix", Prefix}}},
      [Done = std::move(Done)](const plain_reply &Reply) {
        Done(toRange(Reply));
      });
}

void platform_client::write(
    std::vector<row_write> Writes,
    std::function<void(std::vector<write_outcome>)> Done) {
  batch Batch = writeBatch(Writes);
  plain_request Request{
      .Method = "POST", .Path = "/v1/batch", .Body = std::move(Batch.Body)};
  Impl->send(std::move(Request),
             [Batch = std::move(Batch), Done = std::move(Done)](
                 const plain_reply &Reply) { Done(toWrites(Batch, Reply)); });
}

void platform_client::put(const std::string &Name, std::string Bytes,
                          std::function<void(store_status)> Done) {
  plain_request Request{
      .Method = "PUT",
      .Path = "/v1/objects/" + Name,
      .Headers = {{"Content-Type", "application/octet-stream"}},
      .Body = std::move(Bytes)};
  Impl->send(std::move(Request),
             [Done = std::move(Done)](const plain_reply &Reply) {
               Done(statusOf(Reply));
             });
}

void platform_client::get(
    const std::string &Name,
    std::function<void(store_status, std::optional<std::string>)> Done) {
  Impl->send({.Method = "GET", .Path = "/v1/objects/" + Name},
             [Done = std::move(Done)](plain_reply Reply) {
               if (isMissing(Reply)) {
                 Done(store_status::Done, std::nullopt);
                 return;
               }
               const store_status Status = statusOf(Reply);
               if (Status != store_status::Done) {
                 Done(Status, std::nullopt);
                 return;
               }
               Done(Status, std::move(Reply.Response.Body));
             });
}

} // namespace crocuswood::http
