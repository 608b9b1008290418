#include "fake_endpoint.h"

#include <charconv>
#include <utility>

namespace crocuswood::replay {

namespace {

constexpr duration AnnouncementInterval = std::chrono::seconds(1);

duration readRunTime(const payload &Input) {
  const std::string_view Text = Input.getBytes();
  std::int64_t Microseconds = 0;
  std::from_chars(Text.data(), Text.data() + Text.size(), Microseconds);
  return duration(Microseconds);
}

} // namespace

payload makeInput(duration RunTime, const std::string &Label) {
  return payload(std::to_string(RunTime.count()) + " us for " + Label);
}

payload makeOutput(const payload &Input) {
  return payload("done: " + std::string(Input.getBytes()));
}

fake_endpoint::fake_endpoint(world &World,
                             const companion_description &Description,
                             announce Announce, std::vector<task_run> &Runs)
    : process(World, Description.Endpoint, Description.Zone),
      Announcement{.Name = Description.Endpoint,
                   .Address = {.Host = "127.0.0.1", .Port = 9000},
                   .Offer = Description.Offer},
      Announce(std::move(Announce)), Runs(Runs) {}

void fake_endpoint::begin() {
  Announcement.Offer.State = endpoint_state::Serving;
  announceAgain();
}

void fake_endpoint::end() {
  for (auto &[Task, Done] : std::exchange(Running, {})) {
    Done(endpoint_lost{.Reason = "connection reset"});
  }
}

void fake_endpoint::announceAgain() {
  Announce(Announcement);
  after(AnnouncementInterval, [this]() { announceAgain(); });
}

void fake_endpoint::leave() {
  Announcement.Offer.State = endpoint_state::Leaving;
  Announce(Announcement);
}

void fake_endpoint::run(const peer_address & /*Address*/, endpoint_call Call,
                        std::function<void(endpoint_outcome)> Done) {
  if (!isAlive() || Present.Mode == endpoint_mode::Refuses) {
    Done(endpoint_not_reached{.Reason = "connection refused"});
    return;
  }
  Running[Call.Task] = std::move(Done);
  deliver([this, Call = std::move(Call)]() { begin(Call); });
}

void fake_endpoint::begin(const endpoint_call &Call) {
  timeline_event Event{.Kind = event_kind::EndpointRan,
                       .Job = Call.Task.Job,
                       .Task = Call.Task.Index,
                       .Class = Call.Class};
  record(std::move(Event));
  const bool Concerned = Present.Class.empty() || Present.Class == Call.Class;
  const endpoint_mode Mode = Concerned ? Present.Mode : endpoint_mode::Ok;
  if (Mode == endpoint_mode::Resets) {
    finish(Call.Task, endpoint_lost{.Reason = "connection reset"});
    return;
  }
  if (Mode == endpoint_mode::Fails) {
    constexpr duration FailureTime = std::chrono::milliseconds(1);
    after(FailureTime, [this, Task = Call.Task]() {
      finish(Task, endpoint_failed{.Reason = "the worker fails everything"});
    });
    return;
  }
  const double Factor = Mode == endpoint_mode::Slow ? Present.Factor : 1;
  const duration RunTime(static_cast<std::int64_t>(
      static_cast<double>(readRunTime(Call.Input).count()) * Factor));
  Runs.push_back(
      {.Task = Call.Task, .From = getNow(), .Until = getNow() + RunTime});
  after(RunTime, [this, Task = Call.Task, Input = Call.Input]() {
    finish(Task, endpoint_completed{.Output = makeOutput(Input)});
  });
}

void fake_endpoint::finish(const task_id &Task, endpoint_outcome Outcome) {
  const auto Place = Running.find(Task);
  if (Place == Running.end()) {
    return;
  }
  const auto Done = std::move(Place->second);
  Running.erase(Place);
  Done(std::move(Outcome));
}

void fake_endpoint::stop(const peer_address & /*Address*/,
                         const task_id &Task) {
  deliver(
      [this, Task]() { finish(Task, endpoint_failed{.Reason = "stopped"}); });
}

} // namespace crocuswood::replay
