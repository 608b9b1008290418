#include "client_connection.h"
#include "target_text.h"

#include <crocuswood/http.h>

#include <algorithm>
#include <deque>
#include <set>
#include <tuple>

namespace crocuswood::http {

namespace {

/// Shorter than any server's idle limit in use, so that a kept connection is
/// seldom closed by the server while a request is on its way.
constexpr std::chrono::seconds IdleReuseLimit{4};
constexpr std::chrono::milliseconds HousekeepingInterval{250};
constexpr std::size_t MaxQueuedPerServer = 4'096;

client_request toMessage(const peer_address &Server, plain_request Request) {
  client_request Message;
  Message.version(11);
  Message.method_string(Request.Method);
  std::string Target = percentEncode(Request.Path);
  char Separator = '?';
  for (const auto &[Name, Value] : Request.Query) {
    Target += Separator;
    Target += percentEncode(Name) + '=' + percentEncode(Value);
    Separator = '&';
  }
  Message.target(Target);
  Message.set(beast_http::field::host,
              Server.Host + ":" + std::to_string(Server.Port));
  if (!Request.Body.empty()) {
    Message.set(beast_http::field::content_type, "application/json");
  }
  for (const auto &[Name, Value] : Request.Headers) {
    Message.set(Name, Value);
  }
  Message.body() = std::move(Request.Body);
  Message.prepare_payload();
  return Message;
}

struct address_order {
  bool operator()(const peer_address &Left, const peer_address &Right) const {
    return std::tie(Left.Host, Left.Port) < std::tie(Right.Host, Right.Port);
  }
};

} // namespace

/// Keeps connections to each server and lends them to requests.
class plain_client::implementation {
public:
  using done = std::function<void(plain_reply)>;

  implementation(asio::io_context &Context, std::uint32_t MaxConnections,
                 duration TimeLimit)
      : Context(Context), MaxConnections(MaxConnections), UsualLimit(TimeLimit),
        Timer(Context) {}

  duration getUsualLimit() const { return UsualLimit; }

  ~implementation() {
    *Alive = false;
    for (auto &[Address, Server] : Servers) {
      for (const auto &Connection : Server.Open) {
        Connection->close();
      }
    }
  }

  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  void send(const peer_address &Address, plain_request Request, done Done,
            duration TimeLimit) {
    pending Pending{.Request = toMessage(Address, std::move(Request)),
                    .Deadline = steady_clock::now() + TimeLimit,
                    .Done = std::move(Done)};
    server &Server = Servers[Address];
    scheduleHousekeeping();
    if (auto Connection = takeConnection(Address, Server)) {
      begin(Address, Connection, std::move(Pending));
      return;
    }
    if (Server.Queue.size() >= MaxQueuedPerServer) {
      refuseLater(std::move(Pending), "too many requests wait");
      return;
    }
    Server.Queue.push_back(std::move(Pending));
  }

private:
  using connection = std::shared_ptr<client_connection>;

  struct pending {
    client_request Request;
    steady_clock::time_point Deadline;
    done Done;
  };
  struct idle {
    connection Connection;
    steady_clock::time_point Since;
  };
  struct server {
    std::set<connection> Open;
    std::deque<idle> Idle; ///< The one used last is at the back.
    std::deque<pending> Queue;
  };

  connection takeConnection(const peer_address &Address, server &Server) {
    const auto Now = steady_clock::now();
    while (!Server.Idle.empty()) {
      const idle Candidate = std::move(Server.Idle.back());
      Server.Idle.pop_back();
      if (Now - Candidate.Since < IdleReuseLimit &&
          Candidate.Connection->isReusable()) {
        return Candidate.Connection;
      }
      discard(Server, Candidate.Connection);
    }
    if (Server.Open.size() >= MaxConnections) {
      return nullptr;
    }
    auto Fresh = std::make_shared<client_connection>(Context, Address);
    Server.Open.insert(Fresh);
    return Fresh;
  }

  static void discard(server &Server, const connection &Connection) {
    Connection->close();
    Server.Open.erase(Connection);
  }

  void begin(const peer_address &Address, const connection &Connection,
             pending Pending) {
    Connection->exchange(std::move(Pending.Request), Pending.Deadline,
                         [this, Alive = Alive, Address,
                          Weak = std::weak_ptr(Connection),
                          Done = std::move(Pending.Done)](plain_reply Reply) {
                           if (!*Alive) {
                             return;
                           }
                           if (Reply.Kind == plain_reply::kind::Lost) {
                             closeIdle(Address);
                           }
                           giveBack(Address, Weak.lock());
                           Done(std::move(Reply));
                         });
  }

  void giveBack(const peer_address &Address, const connection &Connection) {
    server &Server = Servers[Address];
    if (Connection && Connection->isReusable()) {
      Server.Idle.push_back({Connection, steady_clock::now()});
    } else if (Connection) {
      discard(Server, Connection);
    }
    startQueued(Address, Server);
  }

  // Whatever made one connection silent may have done so to all that were
  // opened before; new ones may work.
  void closeIdle(const peer_address &Address) {
    server &Server = Servers[Address];
    for (const idle &Candidate : std::exchange(Server.Idle, {})) {
      discard(Server, Candidate.Connection);
    }
  }

  void startQueued(const peer_address &Address, server &Server) {
    refuseExpired(Server, steady_clock::now());
    while (!Server.Queue.empty()) {
      const auto Connection = takeConnection(Address, Server);
      if (!Connection) {
        return;
      }
      pending Next = std::move(Server.Queue.front());
      Server.Queue.pop_front();
      begin(Address, Connection, std::move(Next));
    }
  }

  void refuseLater(pending Pending, const char *Reason) {
    asio::post(
        Context, [Alive = Alive, Done = std::move(Pending.Done), Reason] {
          if (*Alive) {
            Done({.Kind = plain_reply::kind::NotWritten, .Reason = Reason});
          }
        });
  }

  void scheduleHousekeeping() {
    if (Scheduled) {
      return;
    }
    Scheduled = true;
    Timer.expires_after(HousekeepingInterval);
    Timer.async_wait([this, Alive = Alive](error_code Aborted) {
      if (Aborted || !*Alive) {
        return;
      }
      Scheduled = false;
      keepHouse();
    });
  }

  void keepHouse() {
    const auto Now = steady_clock::now();
    for (auto Place = Servers.begin(); Place != Servers.end();) {
      server &Server = Place->second;
      refuseExpired(Server, Now);
      closeUnused(Server, Now);
      const bool Unused = Server.Open.empty() && Server.Queue.empty();
      Place = Unused ? Servers.erase(Place) : std::next(Place);
    }
    if (!Servers.empty()) {
      scheduleHousekeeping();
    }
  }

  void refuseExpired(server &Server, steady_clock::time_point Now) {
    // Requests may have limits of their own, so any of them may be due.
    const auto FirstExpired = std::stable_partition(
        Server.Queue.begin(), Server.Queue.end(),
        [Now](const pending &Each) { return Each.Deadline > Now; });
    for (auto Each = FirstExpired; Each != Server.Queue.end(); ++Each) {
      refuseLater(std::move(*Each),
                  "no connection became free within the time limit");
    }
    Server.Queue.erase(FirstExpired, Server.Queue.end());
  }

  static void closeUnused(server &Server, steady_clock::time_point Now) {
    std::deque<idle> Kept;
    for (idle &Candidate : Server.Idle) {
      if (Now - Candidate.Since < IdleReuseLimit &&
          Candidate.Connection->isReusable()) {
        Kept.push_back(std::move(Candidate));
        continue;
      }
      discard(Server, Candidate.Connection);
    }
    Server.Idle = std::move(Kept);
  }

  asio::io_context &Context;
  std::uint32_t MaxConnections;
  duration UsualLimit;
  asio::steady_timer Timer;
  bool Scheduled = false;
  std::map<peer_address, server, address_order> Servers;
  /// Tells late callbacks that this object is gone.
  std::shared_ptr<bool> Alive = std::make_shared<bool>(true);
};

plain_client::plain_client(asio::io_context &Context,
                           std::uint32_t MaxConnectionsPerServer,
                           duration TimeLimit)
    : Impl(std::make_unique<implementation>(Context, MaxConnectionsPerServer,
                                            TimeLimit)) {}

plain_client::~plain_client() = default;

void plain_client::send(const peer_address &Server, plain_request Request,
                        std::function<void(plain_reply)> Done,
                        std::optional<duration> TimeLimit) {
  Impl->send(Server, std::move(Request), std::move(Done),
             TimeLimit.value_or(Impl->getUsualLimit()));
}

} // namespace crocuswood::http
