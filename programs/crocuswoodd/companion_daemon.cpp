#include "companion_daemon.h"

#include "companion_decisions.h"
#include "daemon.h"
#include "endpoint_duty.h"
#include "link_duty.h"
#include "log.h"
#include "observer_duty.h"
#include "platform_duty.h"
#include "system_clock.h"

#include <atomic>
#include <chrono>
#include <future>

namespace crocuswood::daemon {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t LinkRing = 1'024;
constexpr std::size_t SmallRing = 256;

constexpr duration LinkDrainLimit = 10s;

companion::options makeOptions(const settings::companion_settings &Settings,
                               incarnation Life) {
  return {.Self = {.Name = Settings.Process.Name, .Incarnation = Life},
          .Zone = Settings.Process.Zone,
          .Operators = Settings.Process.Operators,
          .Seed = static_cast<std::uint64_t>(Life),
          .Bootstrap = {Settings.Balancer},
          .HeartbeatInterval = Settings.Process.HeartbeatInterval,
          .SilenceLimit = Settings.Process.SilenceLimit,
          .MaxQueuedTasks = Settings.MaxQueuedTasks};
}

/// Owns the duties, the rings and what runs on them, in the order of their
/// dependencies.
class companion_process {
public:
  companion_process(const settings::companion_settings &Settings,
                    incarnation Life);
  ~companion_process() { stopDuties(); }
  companion_process(const companion_process &) = delete;
  companion_process &operator=(const companion_process &) = delete;

  bool listen();
  int run();

private:
  void startDuties();
  void stopDuties();

  const settings::companion_settings &Settings;
  system_clock Clock;
  std::atomic<bool> HasEntry{false};

  rings::duty DecisionThread{"decisions"};
  rings::duty LinkThread{"links"};
  rings::duty EndpointThread{"endpoint"};
  rings::duty PlatformThread{"platform"};
  rings::duty ObserverThread{"operators"};

  rings::ring<link_item> LinksToDecisions{LinkRing, DecisionThread.getSignal()};
  rings::ring<link_command> DecisionsToLinks{LinkRing, LinkThread.getSignal()};
  rings::ring<endpoint_item> EndpointToDecisions{LinkRing,
                                                 DecisionThread.getSignal()};
  rings::ring<endpoint_command> DecisionsToEndpoint{LinkRing,
                                                    EndpointThread.getSignal()};
  rings::ring<platform_item> PlatformToDecisions{SmallRing,
                                                 DecisionThread.getSignal()};
  rings::ring<operators_item> MainToDecisions{SmallRing,
                                              DecisionThread.getSignal()};
  rings::ring<observer_item> DecisionsToObserver{SmallRing,
                                                 ObserverThread.getSignal()};

  std::promise<void> Finished;
  link_duty Links;
  endpoint_duty Endpoint;
  companion_platform_duty Platform;
  observer_duty Observer;
  companion_decisions Decisions;
};

companion_process::companion_process(
    const settings::companion_settings &Settings, incarnation Life)
    : Settings(Settings),
      Links(LinkThread, {}, LinksToDecisions, DecisionsToLinks),
      Endpoint(EndpointThread, Settings.EndpointTimeLimit, EndpointToDecisions,
               DecisionsToEndpoint),
      Platform(PlatformThread, Clock, Settings.Process.Platform,
               {.Poll = Settings.Process.PlatformPollInterval},
               PlatformToDecisions, HasEntry),
      Observer(ObserverThread,
               {.Name = Settings.Process.Name, .Incarnation = Life},
               Settings.Process, DecisionsToObserver, std::nullopt,
               [this] { Finished.set_value(); }),
      Decisions(DecisionThread, Clock, makeOptions(Settings, Life),
                {.FromLinks = LinksToDecisions,
                 .ToLinks = DecisionsToLinks,
                 .FromOperators = MainToDecisions,
                 .ToObserver = DecisionsToObserver},
                {.FromEndpoint = EndpointToDecisions,
                 .ToEndpoint = DecisionsToEndpoint,
                 .FromPlatform = PlatformToDecisions,
                 .HasEntry = HasEntry}) {}

bool companion_process::listen() {
  const bool EndpointListens =
      reportListening(Endpoint.listen(Settings.Announcements), "announcements",
                      Settings.Announcements);
  const peer_address &Operators = Settings.Process.Operators;
  return reportListening(Observer.listen(Operators), "operators", Operators) &&
         EndpointListens;
}

void companion_process::startDuties() {
  Platform.start();
  Decisions.attach();
  ObserverThread.start();
  DecisionThread.start();
  LinkThread.start();
  PlatformThread.start();
  EndpointThread.start();
}

void companion_process::stopDuties() {
  EndpointThread.stop();
  LinkThread.stop();
  PlatformThread.stop();
  DecisionThread.stop();
  ObserverThread.stop();
}

int companion_process::run() {
  startDuties();
  const bool Ended = waitForStop(
      [this] { MainToDecisions.tryPush(stop_asked{}); }, Finished.get_future());
  if (!Ended) {
    log(log_level::Warn, "companion",
        "A second signal ends the process before its tasks.");
    return ExitFailed;
  }
  if (!runAndWait(LinkThread, LinkDrainLimit,
                  [this](std::function<void()> Done) {
                    Links.drain(std::move(Done));
                  })) {
    log(log_level::Warn, "links", "Some entries have not read everything.");
  }
  return ExitDone;
}

} // namespace

int runCompanion(const settings::companion_settings &Settings) {
  companion_process Process(Settings, drawIncarnation());
  if (!Process.listen()) {
    return ExitFailed;
  }
  return Process.run();
}

} // namespace crocuswood::daemon
