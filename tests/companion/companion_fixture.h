/// \file
/// Drives a companion core by events and gathers its actions.
#pragma once

#include <crocuswood/companion.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswood::companion {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr incarnation EntryA{0xa};
constexpr incarnation EntryB{0xb};
inline const peer_address AddressA{.Host = "10.0.0.1", .Port = 7000};
inline const peer_address AddressB{.Host = "10.0.0.2", .Port = 7000};
inline const peer_address Balancer{.Host = "10.0.0.9", .Port = 7000};

inline options makeOptions() {
  return options{
      .Self = {.Name = "companion-1", .Incarnation = incarnation{0xc}},
      .Zone = "bassano"};
}

inline task_id makeTask(std::uint64_t Sequence, std::uint32_t Index = 0,
                        incarnation Entry = EntryA) {
  return {.Job = {.Entry = Entry, .Sequence = Sequence}, .Index = Index};
}

inline place_task makePlacement(const task_id &Task,
                                duration Slack = milliseconds(100)) {
  return {.Task = Task,
          .Class = "pivot-check",
          .Input = payload("{}"),
          .Slack = Slack,
          .ExpectedRunTime = milliseconds(80)};
}

/// A core with its caller: every event is followed by a flush.
class driver {
public:
  explicit driver(options Options = makeOptions()) : Core(std::move(Options)) {}

  void feed(event Event) {
    Core.handle(Now, std::move(Event), Actions);
    Core.flush(Now, Actions);
  }
  /// Lets time pass in small steps, with the timer events due.
  void pass(duration Span) {
    constexpr duration Tick = milliseconds(50);
    for (duration Passed{}; Passed < Span; Passed += Tick) {
      Now += Tick;
      feed(timer_expired{});
    }
  }
  void announce(std::uint32_t Slots,
                endpoint_state State = endpoint_state::Serving) {
    feed(endpoint_announced{{.Name = "runner-1",
                             .Address = {.Host = "127.0.0.1", .Port = 9000},
                             .Offer = {.State = State,
                                       .Classes = {"pivot-check", "dial-sweep"},
                                       .Slots = Slots}}});
  }
  /// Opens the link that the core has dialled last to \p Address.
  link_id open(const peer_address &Address, incarnation Entry,
               const std::string &Name, std::vector<peer_message> More = {}) {
    const link_id Link = findDial(Address).value();
    feed(link_opened{Link});
    std::vector<peer_message> Messages{
        entry_hello{.Entry = {.Name = Name, .Incarnation = Entry},
                    .ConfigurationRevision = Core.getConfiguration().Revision,
                    .KnownEntries = {Address}}};
    for (peer_message &Message : More) {
      Messages.push_back(std::move(Message));
    }
    feed(envelope_received{.Link = Link, .Messages = std::move(Messages)});
    return Link;
  }
  /// Links entry A.
  link_id linkA(std::vector<peer_message> More = {}) {
    feed(entries_read{{AddressA}});
    return open(AddressA, EntryA, "entry-a", std::move(More));
  }
  void receive(link_id Link, peer_message Message) {
    feed(envelope_received{.Link = Link, .Messages = {std::move(Message)}});
  }
  /// Keeps \p Link alive while time passes.
  void passWithHeartbeats(duration Span, link_id Link) {
    for (duration Passed{}; Passed < Span; Passed += milliseconds(500)) {
      pass(milliseconds(500));
      receive(Link, entry_heartbeat{});
    }
  }

  std::optional<link_id> findDial(const peer_address &Address) const {
    std::optional<link_id> Found;
    for (const dial_entry &Dial : list<dial_entry>()) {
      if (Dial.Address == Address) {
        Found = Dial.Link;
      }
    }
    return Found;
  }
  template <class Action> std::vector<Action> list() const {
    std::vector<Action> Found;
    for (const action &Each : Actions) {
      if (const auto *Match = std::get_if<Action>(&Each)) {
        Found.push_back(*Match);
      }
    }
    return Found;
  }
  /// \returns messages of one type sent over \p Link since the last clear().
  template <class Message> std::vector<Message> listSent(link_id Link) const {
    std::vector<Message> Found;
    for (const send_messages &Sent : list<send_messages>()) {
      if (Sent.Link != Link) {
        continue;
      }
      for (const peer_message &Each : Sent.Messages) {
        if (const auto *Match = std::get_if<Message>(&Each)) {
          Found.push_back(*Match);
        }
      }
    }
    return Found;
  }
  /// \returns the reason of the one end sent over \p Link, if it is a task
  /// given back.
  std::optional<not_started_reason> findGivenBack(link_id Link) const {
    const auto Ends = listSent<task_ended>(Link);
    if (Ends.size() != 1) {
      return std::nullopt;
    }
    const auto *Given = std::get_if<task_not_started>(&Ends.front().End);
    return Given != nullptr ? std::optional(Given->Reason) : std::nullopt;
  }
  std::size_t countEvents(event_kind Kind) const {
    std::size_t Count = 0;
    for (const record_event &Record : list<record_event>()) {
      Count += Record.Event.Kind == Kind ? 1 : 0;
    }
    return Count;
  }
  std::size_t countStarts() const { return list<start_task>().size(); }
  void clear() { Actions.clear(); }

  core Core;
  instant Now{seconds(1)};
  std::vector<action> Actions;
};

} // namespace crocuswood::companion
