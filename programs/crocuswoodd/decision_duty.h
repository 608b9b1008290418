/// \file
/// What the decisions' threads of both roles have in common.
#pragma once

#include "items.h"
#include "outbox.h"
#include "recorder.h"

#include <crocuswood/model.h>
#include <crocuswood/ports.h>
#include <crocuswood/rings.h>
#include <crocuswood/timeline.h>

#include <memory>
#include <optional>
#include <vector>

namespace crocuswood::daemon {

/// Rings that both roles' decisions are joined to.
struct decision_rings {
  rings::ring<link_item> &FromLinks;
  rings::ring<link_command> &ToLinks;
  rings::ring<operators_item> &FromOperators;
  rings::ring<observer_item> &ToObserver;
};

/// Runs a decision core in turns: takes what the rings hold, lets the core
/// decide, and sends what follows. Items that find their ring full wait here,
/// and meanwhile a turn takes no new work.
class decision_duty {
public:
  decision_duty(rings::duty &Duty, const clock_port &Clock,
                const process_id &Self, decision_rings Rings);
  virtual ~decision_duty();
  decision_duty(const decision_duty &) = delete;
  decision_duty &operator=(const decision_duty &) = delete;

  /// Sets the duty's drain function and records the start of the process. To be
  /// called before the duty starts.
  void attach();

protected:
  /// Most items that one turn takes from one ring.
  static constexpr std::size_t MaxItemsPerTurn = 512;

  /// Takes items from the role's own rings. \returns whether some may be left.
  virtual bool takeOwnItems(instant Now, bool TakeNewWork) = 0;
  virtual void takeLinkItem(instant Now, link_item Item) = 0;
  virtual void takeStop(instant Now) = 0;
  /// The settings name these entries; entries find each other by themselves.
  virtual void takeEntries(instant /*Now*/,
                           const std::vector<peer_address> & /*Entries*/) {}
  virtual void takeTimer(instant Now) = 0;
  /// Told many times a second, after measureLag(), how late the duty's thread
  /// gets to its work.
  virtual void takeLag(instant /*Now*/, duration /*Lag*/) {}
  /// Told before anything else when the process did nothing for a while.
  virtual void takePause(instant /*Now*/) {}
  /// Lets the core send what it has gathered, and carries out its actions.
  virtual void finishTurn(instant Now) = 0;
  virtual status_snapshot getStatus() const = 0;
  virtual const configuration &getConfiguration() const = 0;
  /// Pushes what waits for the role's own rings. \returns whether nothing waits
  /// any more.
  virtual bool flushOwn() = 0;

  void measureLag();
  void dial(link_id Link, const peer_address &Remote);
  void send(link_id Link, std::vector<peer_message> Messages);
  void close(link_id Link);
  void wakeAt(instant At);
  void reportFinished();
  recorder &getRecorder() { return Recorder; }

private:
  /// \p TimerExpired tells the core first that its wake-up time has come.
  void turn(bool TimerExpired = false);
  bool takeSharedItems(instant Now);
  bool flush();
  void armWake(instant Now);
  void armRetry();
  void publish(instant Now);
  std::shared_ptr<const configuration> copyConfiguration();

  class timers;

  rings::duty &Duty;
  const clock_port &Clock;
  decision_rings Rings;
  recorder Recorder;
  timeline::pause_watch Pauses;
  outbox<link_command> ToLinks;
  outbox<observer_item> ToObserver;
  std::unique_ptr<timers> Timers;
  std::optional<instant> WakeTime;
  std::optional<instant> PublishedAt;
  std::shared_ptr<const configuration> PublishedConfiguration;
  bool WakeChanged = false;
};

} // namespace crocuswood::daemon
