#include "endpoint/announcer.h"

#include <nlohmann/json.hpp>

#include <utility>

namespace crocuswood::stand_ins {

namespace {

constexpr std::chrono::seconds AnnounceInterval{1};
constexpr duration AnnounceTimeLimit = std::chrono::seconds(1);
constexpr std::uint32_t MaxConnections = 2;
constexpr int MaxLeaveAttempts = 3;
constexpr unsigned StatusNoContent = 204;

} // namespace

announcer::announcer(boost::asio::io_context &Context, peer_address Companion,
                     announcement Announcement)
    : Companion(std::move(Companion)), Announcement(std::move(Announcement)),
      Timer(Context), Client(Context, MaxConnections, AnnounceTimeLimit) {}

void announcer::start() { announce(); }

void announcer::leave(std::function<void()> Then) {
  Leaving = true;
  Acknowledged = std::move(Then);
  announce();
}

void announcer::announce() {
  if (Leaving) {
    ++LeaveAttempts;
  }
  Client.send(Companion,
              {.Method = "POST", .Path = "/v1/announce", .Body = write()},
              [this, SaidLeaving = Leaving](const http::plain_reply &Reply) {
                answered(Reply, SaidLeaving);
              });
  Timer.expires_after(AnnounceInterval);
  Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled) {
      announce();
    }
  });
}

void announcer::answered(const http::plain_reply &Reply, bool SaidLeaving) {
  if (!SaidLeaving || !Acknowledged) {
    return;
  }
  const bool Heard = Reply.Kind == http::plain_reply::kind::Answered &&
                     Reply.Response.Status == StatusNoContent;
  if (Heard || LeaveAttempts >= MaxLeaveAttempts) {
    std::exchange(Acknowledged, nullptr)();
  }
}

std::string announcer::write() const {
  return nlohmann::json{{"name", Announcement.Name},
                        {"address", crocuswood::toString(Announcement.Address)},
                        {"classes", Announcement.Classes},
                        {"slots", Announcement.Slots},
                        {"memory_bytes", Announcement.MemoryBytes},
                        {"accelerators", Announcement.Accelerators},
                        {"leaving", Leaving}}
      .dump();
}

} // namespace crocuswood::stand_ins
