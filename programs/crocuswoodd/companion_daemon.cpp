#include "companion_daemon.h"

#include "adapters.h"
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
#include <memory>
#include <vector>

namespace crocuswood::daemon {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t LinkRing = 1'024;
constexpr std::size_t SmallRing = 256;

constexpr duration LinkDrainLimit = 10s;

// With leases an entry without a link has nothing running after a second or
// two, so nothing is kept for it, and a planned stop waits no longer.
constexpr duration LeasedLossLimit = 2s;
// Runners report every 1.5 s; two reports may be lost.
constexpr duration RunnerSilenceLimit = 5s;

// The balancer, where there is one, and the entries known beforehand.
std::vector<peer_address>
listBootstrap(const settings::companion_settings &Settings) {
  std::vector<peer_address> Addresses = Settings.Entries;
  if (Settings.Balancer.Port != 0) {
    Addresses.push_back(Settings.Balancer);
  }
  return Addresses;
}

companion::options makeOptions(const settings::companion_settings &Settings,
                               incarnation Life) {
  const bool HasLeases = Settings.Process.Lease.Entry > duration::zero();
  const bool IsSite =
      Settings.Process.Interface == settings::interface_kind::Site;
  return {.Self = {.Name = Settings.Process.Name, .Incarnation = Life},
          .Zone = Settings.Process.Zone,
          .Operators = Settings.Process.Operators,
          .Seed = static_cast<std::uint64_t>(Life),
          .Bootstrap = listBootstrap(Settings),
          .HeartbeatInterval = Settings.Process.HeartbeatInterval,
          .IdleHeartbeatInterval = Settings.Process.IdleHeartbeatInterval,
          .SilenceLimit = Settings.Process.SilenceLimit,
          .EntryLossLimit =
              HasLeases ? LeasedLossLimit : companion::options().EntryLossLimit,
          .AnnouncementLimit = IsSite ? RunnerSilenceLimit
                                      : companion::options().AnnouncementLimit,
          .EntryLease = Settings.Process.Lease.Entry,
          .AwaitEndpoint = IsSite,
          .MaxQueuedTasks = Settings.MaxQueuedTasks,
          .ReportsClassRooms = Settings.ReportsClassRooms};
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
  int run(const std::string &SettingsFile, process_signals &Signals);

private:
  void startDuties();
  void stopDuties();
  void reload(const std::string &SettingsFile);

  const settings::companion_settings &Settings;
  system_clock Clock;
  const std::unique_ptr<http::memory_account> Memory =
      makeMemoryAccount(Settings.Process);
  std::atomic<bool> HasEntry{false};

  rings::duty DecisionThread{"decisions"};
  rings::duty *const Host =
      Settings.Process.SharesThread ? &DecisionThread : nullptr;
  rings::duty LinkThread{"links", Host};
  rings::duty EndpointThread{"endpoint", Host};
  rings::duty PlatformThread{"platform", Host};
  rings::duty ObserverThread{"operators", Host};

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
  std::unique_ptr<endpoint_duty> Endpoint;
  companion_platform_duty Platform;
  observer_duty Observer;
  companion_decisions Decisions;
};

companion_process::companion_process(
    const settings::companion_settings &Settings, incarnation Life)
    : Settings(Settings),
      Links(LinkThread, {}, LinksToDecisions, DecisionsToLinks),
      Endpoint(openEndpoint(Settings, *Memory, EndpointThread, Clock,
                            EndpointToDecisions, DecisionsToEndpoint)),
      Platform(PlatformThread, Clock,
               choosePlatform(Settings.Process).OpenTable,
               {.Poll = Settings.Process.PlatformPollInterval},
               PlatformToDecisions, HasEntry),
      Observer(ObserverThread,
               {.Name = Settings.Process.Name, .Incarnation = Life},
               Settings.Process, *Memory, DecisionsToObserver, std::nullopt,
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
      reportListening(Endpoint->listen(Settings.Announcements), "announcements",
                      Settings.Announcements);
  const peer_address &Operators = Settings.Process.Operators;
  return reportListening(Observer.listen(Operators), "operators", Operators) &&
         EndpointListens;
}

void companion_process::startDuties() {
  Platform.start();
  Endpoint->start();
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

// Addresses are bound and time limits are agreed with peers at the start, so
// most settings take effect at the next one.
void companion_process::reload(const std::string &SettingsFile) {
  const auto Text = readFile(SettingsFile);
  if (!Text) {
    log(log_level::Warn, "settings", SettingsFile + " cannot be read.");
    return;
  }
  const auto Parsed = settings::parseCompanion(*Text, SettingsFile);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    log(log_level::Warn, "settings",
        "The file has faults; the settings in force stay. " +
            toString(*Faults));
    return;
  }
  MainToDecisions.tryPush(entries_told{
      .Entries = std::get<settings::companion_settings>(Parsed).Entries});
  log(log_level::Info, "settings",
      "Read again. New entries are dialled; other changes take effect at the "
      "next start.");
}

int companion_process::run(const std::string &SettingsFile,
                           process_signals &Signals) {
  startDuties();
  const bool Ended = Signals.waitForStop(
      {.Stop = [this] { MainToDecisions.tryPush(stop_asked{}); },
       .Reload = [this, SettingsFile] { reload(SettingsFile); },
       .SettingsFile = SettingsFile},
      Finished.get_future());
  if (!Ended) {
    log(log_level::Warn, "companion",
        "SIGINT ends the process before its tasks.");
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

int runCompanion(const settings::companion_settings &Settings,
                 const std::string &SettingsFile, process_signals &Signals) {
  companion_process Process(Settings, drawIncarnation());
  if (!Process.listen()) {
    return ExitFailed;
  }
  return Process.run(SettingsFile, Signals);
}

} // namespace crocuswood::daemon
