#include "interference_watch.h"

#include <array>
#include <cmath>
#include <cstdio>
#include <string>

namespace crocuswood::entry {

namespace {

constexpr duration FadeInterval = std::chrono::seconds(1);
constexpr double Thousandths = 1000;

std::string writeFigure(double Figure) {
  std::array<char, 32> Text{};
  std::snprintf(Text.data(), Text.size(), "%.2f", Figure);
  return Text.data();
}

} // namespace

void interference_watch::noteEnd(companion_index Companion,
                                 const task_ref &Task, duration RunTime) {
  if (!IsOn) {
    return;
  }
  const companion_record &Record = Companions[Companion];
  const task &Ended = Task.get();
  const class_index Class = Task.Job->Class;
  const duration Expected = Classes[Class].expect(Ended.DeclaredRunTime);
  if (Expected <= duration::zero() || RunTime <= duration::zero()) {
    return;
  }
  const interference::task_run Run{
      .Class = Class,
      .Endpoint = Companion,
      .Ratio = static_cast<double>(RunTime.count()) /
               static_cast<double>(Expected.count()),
      .Neighbours = Record.Beside.getMean(
          Class, Ended.Room, Record.Marks[Ended.Position], Ended.PlacedAt,
          Sink.now(), capacityOf(Record.Endpoint))};
  Figures.Slowdowns.add(Model.getSlowdown(Class, Run.Neighbours));
  Model.learn(Run, Sink.now(), Changes);
  recordChanges();
}

void interference_watch::checkTimes() {
  if (!IsOn || Sink.now() - FadedAt < FadeInterval) {
    return;
  }
  FadedAt = Sink.now();
  Model.fade(Sink.now(), Changes);
  recordChanges();
}

void interference_watch::recordChanges() {
  for (const interference::pair_effect &Each : Changes) {
    ++(Each.Believed ? Figures.Found : Figures.Gone);
    const interference::slowdown &Slowdown = Each.Slowdown;
    Sink.record({.Kind = Each.Believed ? event_kind::InterferenceFound
                                       : event_kind::InterferenceGone,
                 .Class = Classes[Each.Victim].Spec.Name,
                 .Key = Classes[Each.Neighbour].Spec.Name,
                 .Reason = "Slowdown at full share " +
                           writeFigure(Slowdown.Factor) + ", bounds " +
                           writeFigure(Slowdown.Lower) + " and " +
                           writeFigure(Slowdown.Upper) + ", from " +
                           std::to_string(std::lround(Each.Runs)) + " runs.",
                 .Value = std::lround(Slowdown.Factor * Thousandths)});
  }
  Changes.clear();
}

std::optional<interference_figures> interference_watch::getFigures() const {
  return IsOn ? std::optional(Figures) : std::nullopt;
}

std::vector<interference_status> interference_watch::getStatus() const {
  std::vector<interference_status> Status;
  for (const interference::pair_effect &Each : Model.list()) {
    Status.push_back({.Class = Classes[Each.Victim].Spec.Name,
                      .Neighbour = Classes[Each.Neighbour].Spec.Name,
                      .Slowdown = Each.Slowdown.Factor,
                      .Lower = Each.Slowdown.Lower,
                      .Upper = Each.Slowdown.Upper,
                      .Runs = Each.Runs,
                      .Believed = Each.Believed});
  }
  return Status;
}

} // namespace crocuswood::entry
