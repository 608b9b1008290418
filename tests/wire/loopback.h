/// \file
/// Links on loopback within one io_context.
#pragma once

#include <crocuswood/wire.h>

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::wire_test {

/// Keeps everything that it hears.
class recorder : public link_events {
public:
  void linkOpened(link_id Link, const peer_address & /*Remote*/) override {
    Opened.push_back(Link);
  }
  void envelopeReceived(link_id Link, peer_envelope Envelope) override {
    Received[Link].push_back(std::move(Envelope));
    if (OnEnvelope) {
      OnEnvelope(Link);
    }
  }
  void linkClosed(link_id Link, const std::string &Reason) override {
    Closed.emplace(Link, Reason);
  }

  std::vector<link_id> Opened;
  std::map<link_id, std::vector<peer_envelope>> Received;
  std::map<link_id, std::string> Closed;
  std::function<void(link_id)> OnEnvelope;
};

/// Runs \p Context until \p Condition holds. \returns whether it does; the
/// bound only ends a test that would hang.
inline bool runUntil(boost::asio::io_context &Context,
                     const std::function<bool()> &Condition) {
  constexpr auto Bound = std::chrono::seconds(30);
  constexpr auto Step = std::chrono::milliseconds(20);
  const auto End = std::chrono::steady_clock::now() + Bound;
  while (!Condition() && std::chrono::steady_clock::now() < End) {
    Context.restart();
    Context.run_one_for(Step);
  }
  return Condition();
}

/// A listening entry and a companion with one open link.
struct linked_pair {
  explicit linked_pair(const wire::limits &Limits = {})
      : Entry(Context, Limits, EntryEvents),
        Companion(Context, Limits, CompanionEvents) {}

  /// \returns whether the link is open on both sides.
  bool open() {
    const auto Listening = Entry.listen({.Host = "127.0.0.1"});
    if (!std::holds_alternative<std::uint16_t>(Listening)) {
      return false;
    }
    Port = std::get<std::uint16_t>(Listening);
    Companion.dial(CompanionLink, {.Host = "127.0.0.1", .Port = Port});
    return runUntil(Context, [this] {
      return !EntryEvents.Opened.empty() && !CompanionEvents.Opened.empty();
    });
  }
  link_id entryLink() const { return EntryEvents.Opened.front(); }

  boost::asio::io_context Context;
  recorder EntryEvents;
  recorder CompanionEvents;
  wire::link_endpoint Entry;
  wire::link_endpoint Companion;
  const link_id CompanionLink{1};
  std::uint16_t Port = 0;
};

} // namespace crocuswood::wire_test
