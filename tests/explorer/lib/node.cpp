#include "node.h"

#include <algorithm>
#include <utility>

namespace crocuswood::explorer {

namespace {

using std::chrono::milliseconds;

/// After a planned stop.
constexpr duration RestartPause = milliseconds(100);
constexpr std::uint64_t LifeSeed = 0x6c696665;

} // namespace

std::vector<fault> processFaults() {
  return {{fault_kind::KillProcess, milliseconds(20)},
          {fault_kind::KillProcess, milliseconds(700)},
          {fault_kind::FreezeProcess, milliseconds(150)},
          {fault_kind::FreezeProcess, milliseconds(450)},
          {fault_kind::FreezeProcess, milliseconds(1'000)},
          {fault_kind::StopProcess}};
}

node::node(world &World, std::string Name)
    : World(World), Name(std::move(Name)) {}

void node::start() {
  if (Alive) {
    return;
  }
  ++Life;
  Alive = true;
  Frozen = false;
  History = mix(LifeSeed, Life);
  History = mix(History, Name);
  History = mix(
      History, static_cast<std::uint64_t>(getNow().time_since_epoch().count()));
  Outputs = 0;
  Wake.reset();
  begin();
}

void node::kill(duration Pause) {
  if (!Alive) {
    return;
  }
  Alive = false;
  Frozen = false;
  Held.clear();
  end();
  World.after(Pause, {.What = "start",
                      .Who = Name,
                      .Label = mix(Life, Name),
                      .Run = [this] { start(); }});
}

void node::freeze(duration Span) {
  if (!Alive || Frozen) {
    return;
  }
  Frozen = true;
  World.after(Span, {.What = "thaw",
                     .Who = Name,
                     .Label = mix(Life, Name),
                     .Run = [this, Born = Life] {
                       if (!Alive || Life != Born) {
                         return;
                       }
                       Frozen = false;
                       for (auto &[Label, Work] : std::exchange(Held, {})) {
                         take(Label, std::move(Work));
                       }
                     }});
}

bool node::suffer(const fault &Fault) {
  if (Fault.Kind == fault_kind::KillProcess) {
    kill(Fault.Span);
  } else if (Fault.Kind == fault_kind::FreezeProcess) {
    freeze(Fault.Span);
  } else if (Fault.Kind == fault_kind::StopProcess) {
    take(mix(Life, "stop"), [this] { requestStop(); });
  }
  return true;
}

void node::take(std::uint64_t Label, std::function<void()> Work) {
  if (!Alive) {
    return;
  }
  if (Frozen) {
    Held.emplace_back(Label, std::move(Work));
    return;
  }
  History = mix(History, Label);
  History = mix(
      History, static_cast<std::uint64_t>(getNow().time_since_epoch().count()));
  Work();
}

void node::takeAfter(duration Span, std::string_view What, std::uint64_t Label,
                     std::vector<fault> Offered, std::function<void()> Work,
                     std::function<bool()> IsValid) {
  World.after(
      Span,
      {.What = What,
       .Who = Name,
       .Label = mix(Label, Name),
       .Offered = std::move(Offered),
       .Run = [this, Label, Work = std::move(Work)] { take(Label, Work); },
       .Suffer = [this](const fault &Fault) { return suffer(Fault); },
       .IsValid =
           [this, Born = Life, Valid = std::move(IsValid)] {
             return Alive && Life == Born && (!Valid || Valid());
           }});
}

void node::wakeAt(instant At, std::function<void()> Work) {
  Wake = At;
  takeAfter(
      std::max(At - getNow(), duration::zero()), "timer", mix(Life, "core"), {},
      [this, Work = std::move(Work)] {
        Wake.reset();
        Work();
      },
      [this, At] { return Wake == At; });
}

void node::finishStop() { kill(RestartPause); }

std::uint64_t node::labelOutput() { return mix(History, ++Outputs); }

std::uint64_t node::digestState() const {
  if (!Alive) {
    return mix(Life, "dead");
  }
  std::uint64_t Digest = mix(History, Frozen ? 1 : 0);
  for (const auto &[Label, Work] : Held) {
    Digest = mix(Digest, Label);
  }
  return Digest;
}

} // namespace crocuswood::explorer
