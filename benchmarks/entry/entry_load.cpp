#include "entry_load.h"

#include <chrono>
#include <string>
#include <utility>

namespace crocuswood::entry {

namespace {

// Not before the core's next check.
constexpr duration CheckInterval = std::chrono::milliseconds(100);
constexpr duration RunTime = std::chrono::milliseconds(100);
constexpr std::uint64_t EventsPerFlush = 16;
constexpr std::uint64_t EndsPerMillisecond = 180;
constexpr std::uint32_t ExtraTasks = 64;

// Adds the time between its construction and destruction.
class stop_watch {
public:
  explicit stop_watch(std::uint64_t &Sum) : Sum(Sum) {}
  ~stop_watch() {
    const auto Span = std::chrono::steady_clock::now() - Start;
    Sum += static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(Span).count());
  }
  stop_watch(const stop_watch &) = delete;
  stop_watch &operator=(const stop_watch &) = delete;

private:
  std::uint64_t &Sum;
  std::chrono::steady_clock::time_point Start =
      std::chrono::steady_clock::now();
};

} // namespace

entry_load::entry_load(load_shape Shape)
    : Shape(Shape),
      Core({.Self = {.Name = "entry", .Incarnation = incarnation{1}}}) {
  configuration Configuration{.Revision = 1};
  Configuration.Classes["pivot-check"] = {
      .Name = "pivot-check", .AnswerWithin = std::chrono::seconds(100)};
  for (std::uint32_t Each = 0; Each < Shape.IdleClasses; ++Each) {
    const std::string Name = "idle-" + std::to_string(Each);
    Configuration.Classes[Name] = {.Name = Name,
                                   .AnswerWithin = std::chrono::seconds(100),
                                   .Pool = "pivot-check"};
  }
  Configuration.Teams["valbrenta"] = {.Name = "valbrenta"};
  handle(configuration_read{.Configuration = Configuration});
  Request = {.Class = "pivot-check", .Team = "valbrenta"};
  Request.Tasks.resize(Shape.TasksPerJob);
  for (task_request &Task : Request.Tasks) {
    Task.Input = payload("{\"needle\":17}");
  }
  connect(Shape.Companions);
}

void entry_load::connect(std::uint32_t Count) {
  for (std::uint32_t Each = 0; Each < Count; ++Each) {
    Loads.emplace_back();
    const link_id Link{Loads.size()};
    handle(link_opened{.Link = Link});
    companion_hello Hello{
        .Companion = {.Name = "runner-" + std::to_string(Loads.size()),
                      .Incarnation = incarnation{Loads.size()}},
        .ConfigurationRevision = 1,
        .Endpoint = {.State = endpoint_state::Serving,
                     .Classes = {"pivot-check"},
                     .Slots = Shape.SlotsPerCompanion}};
    handle(envelope_received{.Link = Link, .Messages = {std::move(Hello)}});
  }
  flush();
}

void entry_load::handle(event Event) {
  {
    const stop_watch Watch(Nanoseconds);
    Core.handle(Now, std::move(Event), Actions);
  }
  takeActions();
}

void entry_load::flush() {
  {
    const stop_watch Watch(Nanoseconds);
    Core.flush(Now, Actions);
  }
  takeActions();
}

void entry_load::takeActions() {
  for (const action &Action : Actions) {
    if (const auto *Send = std::get_if<send_messages>(&Action)) {
      for (const peer_message &Message : Send->Messages) {
        if (const auto *Place = std::get_if<place_task>(&Message)) {
          Running.emplace_back(Send->Link, Place->Task);
        }
      }
    }
    Answers += std::holds_alternative<answer_caller>(Action) ? 1 : 0;
  }
  const stop_watch Watch(Nanoseconds);
  Actions.clear();
}

void entry_load::submitJob() {
  Submitted += Shape.TasksPerJob;
  handle(job_submitted{.Request = request_id{++LastRequest}, .Job = Request});
}

void entry_load::endOldestTask() {
  const auto [Link, Task] = Running.front();
  Running.pop_front();
  companion_load &Load = Loads[static_cast<std::uint64_t>(Link) - 1];
  ++Load.Sequence;
  ++Ended;
  task_ended End{.Task = Task,
                 .End = task_completed{.Output = payload("{\"ok\":true}"),
                                       .RunTime = RunTime},
                 .Load = Load};
  handle(envelope_received{.Link = Link, .Messages = {std::move(End)}});
}

std::uint64_t entry_load::run(std::uint64_t Count) {
  const std::uint64_t Capacity =
      static_cast<std::uint64_t>(Loads.size()) * Shape.SlotsPerCompanion +
      ExtraTasks;
  const std::uint64_t Target = Ended + Count;
  Nanoseconds = 0;
  while (Ended < Target) {
    while (Submitted - Ended < Capacity) {
      submitJob();
    }
    flush();
    for (std::uint64_t Each = 0; Each < EventsPerFlush && !Running.empty();
         ++Each) {
      endOldestTask();
      Now += duration(Ended % EndsPerMillisecond == 0 ? 1000 : 0);
    }
  }
  return Nanoseconds;
}

std::uint64_t entry_load::check(std::uint64_t Count) {
  Nanoseconds = 0;
  for (std::uint64_t Each = 0; Each < Count; ++Each) {
    Now += CheckInterval;
    handle(timer_expired{});
  }
  return Nanoseconds;
}

} // namespace crocuswood::entry
