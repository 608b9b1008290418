#include "process.h"

#include <utility>

namespace crocuswood::replay {

namespace {

/// Wall clock at the start of a run, after the Unix epoch.
constexpr std::int64_t EpochMicroseconds = 1'700'000'000'000'000;

} // namespace

process::process(world &World, std::string Name, std::string Zone)
    : World(World), Id{.Name = std::move(Name)}, Zone(std::move(Zone)),
      Skew(static_cast<std::int64_t>(
          World.Random.unit() * static_cast<double>(World.ClockSkew.count()))) {
}

std::int64_t process::getWallMicroseconds() const {
  return EpochMicroseconds + Skew.count() + getNow().time_since_epoch().count();
}

void process::start() {
  if (Alive) {
    return;
  }
  ++Life;
  Alive = true;
  Frozen = false;
  Id.Incarnation = incarnation{World.Random.next()};
  record({.Kind = event_kind::ProcessStarted});
  begin();
}

void process::kill() {
  if (!Alive) {
    return;
  }
  Alive = false;
  Frozen = false;
  HeldTimers.clear();
  Held.clear();
  end();
}

void process::finishStop() {
  record({.Kind = event_kind::ProcessStopped});
  kill();
}

void process::thaw() {
  Frozen = false;
  auto Timers = std::exchange(HeldTimers, {});
  auto Rest = std::exchange(Held, {});
  for (const auto &Work : Timers) {
    deliver(Work);
  }
  for (const auto &Work : Rest) {
    deliver(Work);
  }
}

void process::deliver(std::function<void()> Work) {
  if (!Alive) {
    return;
  }
  if (Frozen) {
    Held.push_back(std::move(Work));
    return;
  }
  Work();
}

void process::after(duration Span, std::function<void()> Work) {
  World.Loop.after(Span, [this, Born = Life, Work = std::move(Work)]() {
    if (!Alive || Life != Born) {
      return;
    }
    if (Frozen) {
      HeldTimers.push_back(Work);
      return;
    }
    Work();
  });
}

void process::record(timeline_event Event) {
  Event.Process = Id;
  Event.Time = Clock.next(getWallMicroseconds());
  World.Timeline.push_back(std::move(Event));
}

} // namespace crocuswood::replay
