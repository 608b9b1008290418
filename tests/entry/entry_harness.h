/// \file
/// Drives an entry core with events in virtual time and gathers its actions.
#pragma once

#include <crocuswood/entry.h>

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::entry {

constexpr incarnation EntryIncarnation{0xe1};

/// The core under test, and what it did.
class entry_harness {
public:
  explicit entry_harness(options Options = defaults());

  static options defaults();
  /// Classes fast (idempotent), slow and sale (not idempotent); teams acme and
  /// capped (10 starts a second).
  static configuration defaultConfiguration(std::uint64_t Revision = 1);

  /// Handles \p Event and flushes.
  void handle(event Event);
  /// Handles \p Event without a flush.
  void handleOnly(event Event);
  void flush();
  /// Moves time on in small steps, with a timer event at each.
  void pass(duration Span);

  /// Brings up a companion with \p Slots slots for all classes. Like a real one
  /// it answers a resume request.
  void connect(link_id Link, const std::string &Name, std::uint32_t Slots = 8,
               incarnation Incarnation = incarnation{1});
  /// Opens a link on which a companion's hello arrives, and nothing more.
  void greet(link_id Link, const std::string &Name, std::uint32_t Slots = 8,
             incarnation Incarnation = incarnation{1});
  void receive(link_id Link, std::vector<peer_message> Messages);
  /// Sends the end of a task from the companion on \p Link.
  void end(link_id Link, const task_id &Task, task_end End);
  void complete(link_id Link, const task_id &Task,
                const std::string &Output = "\"out\"");
  /// Submits a job of \p Tasks tasks. \returns its request.
  request_id submit(const std::string &Class, std::size_t Tasks = 1,
                    const std::string &Key = {},
                    const std::string &Team = "acme");
  request_id submit(job_request Job);

  /// \returns the answer of \p Request, or null.
  const job_answer *answerOf(request_id Request) const;
  /// \returns the failure in the answer of \p Request, or null.
  const job_failure *failureOf(request_id Request) const;
  bool isNotRun(request_id Request, failure_code Code) const;
  bool mayHaveRun(request_id Request, failure_code Code) const;
  bool isCompleted(request_id Request) const;

  /// \returns all messages of a type sent on \p Link.
  template <class Message> std::vector<Message> sent(link_id Link) const {
    std::vector<Message> Found;
    for (const peer_message &Each : messagesOn(Link)) {
      if (const auto *Match = std::get_if<Message>(&Each)) {
        Found.push_back(*Match);
      }
    }
    return Found;
  }
  /// \returns all actions of a type.
  template <class Action> std::vector<Action> actions() const {
    std::vector<Action> Found;
    for (const action &Each : Actions) {
      if (const auto *Match = std::get_if<Action>(&Each)) {
        Found.push_back(*Match);
      }
    }
    return Found;
  }
  std::size_t countEvents(event_kind Kind) const;
  /// \returns tasks placed on \p Link so far, in order.
  std::vector<task_id> placed(link_id Link) const;
  /// Forgets the actions so far; answers are kept.
  void clear();

  instant Now{std::chrono::seconds(1000)};
  core Core;
  std::vector<action> Actions;

private:
  std::vector<peer_message> messagesOn(link_id Link) const;
  void noteAnswers(std::size_t From);

  std::uint64_t LastRequest = 0;
  std::map<link_id, companion_load> Loads;
  std::map<request_id, std::vector<job_answer>> Answers;
};

} // namespace crocuswood::entry
