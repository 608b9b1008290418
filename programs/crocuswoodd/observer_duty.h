/// \file
/// The operators' thread of both roles: time line, metrics, log and the
/// operators' port.
#pragma once

#include "asio.h"
#include "event_log.h"
#include "items.h"
#include "metrics.h"
#include "outbox.h"

#include <crocuswood/http.h>
#include <crocuswood/rings.h>
#include <crocuswood/settings.h>
#include <crocuswood/timeline.h>

#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <optional>
#include <string>

namespace crocuswood::daemon {

/// Rings by which an entry's operators change the configuration.
struct change_rings {
  rings::ring<change_asked> &ToPlatform;
  rings::ring<change_item> &FromPlatform;
};

/// Keeps what the process tells of itself, and serves it.
class observer_duty {
public:
  using finished = std::function<void()>;

  /// \p Changes is empty for companions. \p Finished is called on the
  /// operators' thread once the decisions have ended everything after a planned
  /// stop.
  observer_duty(rings::duty &Duty, process_id Self,
                const settings::process_settings &Settings,
                http::memory_account &Memory,
                rings::ring<observer_item> &FromDecisions,
                std::optional<change_rings> Changes, finished Finished);

  /// To be called before the duty starts.
  checked<std::uint16_t> listen(const peer_address &Address);

private:
  using respond = http::plain_server::respond;

  void takeItems();
  /// Has the log written soon, together with what follows until then.
  void scheduleFlush();
  void takeEvent(timeline_event Event);
  void takeChangeItem(change_item Item);
  void serve(const http::plain_request &Request, const respond &Respond);
  void serveHealth(const respond &Respond) const;
  void serveTimeline(const http::plain_request &Request,
                     const respond &Respond) const;
  void serveProcesses(const respond &Respond) const;
  void serveDocument(const http::plain_request &Request,
                     const respond &Respond);
  void serveRead(const std::string &Kind, const std::string &Name,
                 const respond &Respond) const;
  void askChange(const http::plain_request &Request, config::change Change,
                 const respond &Respond);
  static http::plain_response
  makeChangeResponse(const config::change_step &Step);

  process_id Self;
  std::string Zone;
  peer_address Operators;
  rings::ring<observer_item> &FromDecisions;
  std::optional<change_rings> Changes;
  finished Finished;
  timeline::event_store Store;
  std::ofstream TimelineFile;
  metrics Metrics;
  event_log Events;
  http::memory_account &Memory;
  boost::asio::steady_timer FlushTimer;
  bool FlushScheduled = false;
  bool LogsText;
  std::optional<published_status> Published;
  std::vector<platform::entry_row> Entries;
  std::map<request_id, respond> WaitingChanges;
  std::uint64_t NextRequest = 1;
  http::plain_server Server;
};

} // namespace crocuswood::daemon
