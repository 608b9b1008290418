/// \file
/// What every process under replay has: a life that can end, freeze and start
/// anew, a clock, and its part of the time line.
#pragma once

#include "event_loop.h"
#include "random_stream.h"

#include <crocuswood/model.h>
#include <crocuswood/ports.h>
#include <crocuswood/timeline.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// Shared by all processes of a run.
struct world {
  event_loop Loop;
  random_stream Random{1};
  duration ClockSkew{};
  std::vector<timeline_event> Timeline;
};

/// A process. Subclasses hold the real core, or stand in for an endpoint.
class process : public link_events {
public:
  process(world &World, std::string Name, std::string Zone);
  ~process() override = default;
  process(const process &) = delete;
  process &operator=(const process &) = delete;

  /// Begins a life under a new incarnation.
  void start();
  /// Ends the life at once.
  void kill();
  void freeze() { Frozen = true; }
  /// Runs the timers that have become due, then everything held back.
  void thaw();

  /// Runs \p Work now, or after a freeze; never in a later life.
  void deliver(std::function<void()> Work);
  /// Delivers \p Work after \p Span, within this life.
  void after(duration Span, std::function<void()> Work);
  void record(timeline_event Event);

  bool isAlive() const { return Alive; }
  bool isFrozen() const { return Frozen; }
  std::uint64_t getLife() const { return Life; }
  const process_id &getId() const { return Id; }
  const std::string &getName() const { return Id.Name; }
  const std::string &getZone() const { return Zone; }
  timeline::hybrid_clock &getClock() { return Clock; }
  std::int64_t getWallMicroseconds() const;

  void linkOpened(link_id, const peer_address &) override {}
  void envelopeReceived(link_id, peer_envelope) override {}
  void linkClosed(link_id, const std::string &) override {}

protected:
  virtual void begin() {}
  virtual void end() {}
  instant getNow() const { return World.Loop.getNow(); }
  void finishStop();

  world &World;

private:
  process_id Id;
  std::string Zone;
  timeline::hybrid_clock Clock;
  duration Skew;
  std::uint64_t Life = 0;
  bool Alive = false;
  bool Frozen = false;
  std::vector<std::function<void()>> HeldTimers;
  std::vector<std::function<void()>> Held;
};

} // namespace crocuswood::replay
