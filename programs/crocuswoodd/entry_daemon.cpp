#include "entry_daemon.h"

#include "adapters.h"
#include "daemon.h"
#include "entry_decisions.h"
#include "front_duty.h"
#include "link_duty.h"
#include "log.h"
#include "observer_duty.h"
#include "platform_duty.h"
#include "system_clock.h"

#include <crocuswood/runs.h>

#include <chrono>
#include <future>

namespace crocuswood::daemon {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t JobRing = 4'096;
constexpr std::size_t LinkRing = 4'096;
constexpr std::size_t SmallRing = 1'024;

// Bounds of the steps of a planned stop, after every job has ended.
constexpr duration FrontDrainLimit = 30s;
constexpr duration PlatformDrainLimit = 40s;
constexpr duration LinkDrainLimit = 10s;

// What a companion may need, after an entry's lease, to end its runs: a stop
// that has no effect costs the endpoint its lease.
constexpr runs::options RunLimits;
constexpr duration EndMargin = RunLimits.StopLimit + RunLimits.LeaseMargin;

duration makeLossLimit(const settings::lease_settings &Lease) {
  return Lease.Entry > duration::zero()
             ? Lease.Entry + Lease.Endpoint + EndMargin
             : entry::options().LossLimit;
}

// The jobs of a planned stop end earlier than the process: the proof that
// nothing runs, the answers and a process that is late take their time.
constexpr duration AnswerTime = 800ms;

duration makeStopLimit(duration ProcessLimit) {
  return ProcessLimit == duration::zero()
             ? duration::zero()
             : std::max(ProcessLimit - AnswerTime, ProcessLimit / 2);
}

entry::options makeOptions(const settings::entry_settings &Settings,
                           incarnation Life) {
  return {.Self = {.Name = Settings.Process.Name, .Incarnation = Life},
          .Zone = Settings.Process.Zone,
          .Operators = Settings.Process.Operators,
          .Seed = static_cast<std::uint64_t>(Life),
          .FollowsSpeed = Settings.FollowsSpeed,
          .JudgesPromptly = Settings.JudgesPromptly,
          .SharesFairly = Settings.SharesFairly,
          .SpreadsReturns = Settings.SpreadsReturns,
          .AvoidsInterference = Settings.AvoidsInterference,
          .SlowStart = Settings.SlowStart,
          .HeartbeatInterval = Settings.Process.HeartbeatInterval,
          .IdleHeartbeatInterval = Settings.Process.IdleHeartbeatInterval,
          .SilenceLimit = Settings.Process.SilenceLimit,
          .LossLimit = makeLossLimit(Settings.Process.Lease),
          .GrantsLeases = Settings.Process.Lease.Entry > duration::zero(),
          .StopDelay = Settings.StopDelay,
          .StopLimit = makeStopLimit(Settings.StopLimit),
          .MaxOutstandingTasks = Settings.MaxOutstandingTasks};
}

platform::entry_row makeRow(const settings::entry_settings &Settings,
                            incarnation Life) {
  return {.Name = Settings.Process.Name,
          .Incarnation = Life,
          .Links = Settings.Advertise,
          .Operators = Settings.Process.Operators};
}

platform_adapters makeAdapters(const settings::entry_settings &Settings) {
  platform_adapters Adapters = choosePlatform(Settings.Process);
  if (!Settings.Evacuation) {
    Adapters.OpenEvacuation = nullptr;
  }
  return Adapters;
}

/// Owns the duties, the rings and what runs on them, in the order of their
/// dependencies.
class entry_process {
public:
  entry_process(const settings::entry_settings &Settings, incarnation Life);
  ~entry_process() { stopDuties(); }
  entry_process(const entry_process &) = delete;
  entry_process &operator=(const entry_process &) = delete;

  bool listen();
  int run(const std::string &SettingsFile, process_signals &Signals);

private:
  void startDuties();
  void stopDuties();
  void reload(const std::string &SettingsFile);
  void drain();

  const settings::entry_settings &Settings;
  system_clock Clock;
  const std::unique_ptr<http::memory_account> Memory =
      makeMemoryAccount(Settings.Process, Settings.getLeastClientMemory());

  rings::duty FrontThread{"front"};
  rings::duty *const Host =
      Settings.Process.SharesThread ? &FrontThread : nullptr;
  rings::duty DecisionThread{"decisions", Host};
  rings::duty LinkThread{"links", Host};
  rings::duty PlatformThread{"platform", Host};
  rings::duty ObserverThread{"operators", Host};

  rings::ring<front_item> FrontToDecisions{JobRing, DecisionThread.getSignal()};
  rings::ring<front_command> DecisionsToFront{JobRing, FrontThread.getSignal()};
  rings::ring<link_item> LinksToDecisions{LinkRing, DecisionThread.getSignal()};
  rings::ring<link_command> DecisionsToLinks{LinkRing, LinkThread.getSignal()};
  rings::ring<platform_item> PlatformToDecisions{SmallRing,
                                                 DecisionThread.getSignal()};
  rings::ring<platform_command> DecisionsToPlatform{SmallRing,
                                                    PlatformThread.getSignal()};
  rings::ring<operators_item> MainToDecisions{SmallRing,
                                              DecisionThread.getSignal()};
  rings::ring<observer_item> DecisionsToObserver{SmallRing,
                                                 ObserverThread.getSignal()};
  rings::ring<change_asked> ObserverToPlatform{SmallRing,
                                               PlatformThread.getSignal()};
  rings::ring<change_item> PlatformToObserver{SmallRing,
                                              ObserverThread.getSignal()};

  std::promise<void> Finished;
  front_duty Front;
  link_duty Links;
  entry_platform_duty Platform;
  observer_duty Observer;
  entry_decisions Decisions;
};

entry_process::entry_process(const settings::entry_settings &Settings,
                             incarnation Life)
    : Settings(Settings), Front(FrontThread, chooseFront(Settings, *Memory),
                                FrontToDecisions, DecisionsToFront),
      Links(LinkThread, {}, LinksToDecisions, DecisionsToLinks),
      Platform(PlatformThread, Clock, makeAdapters(Settings),
               {.Poll = Settings.Process.PlatformPollInterval},
               makeRow(Settings, Life),
               {.ToDecisions = PlatformToDecisions,
                .FromDecisions = DecisionsToPlatform,
                .ToObserver = PlatformToObserver,
                .FromObserver = ObserverToPlatform}),
      Observer(ObserverThread,
               {.Name = Settings.Process.Name, .Incarnation = Life},
               Settings.Process, *Memory, DecisionsToObserver,
               change_rings{.ToPlatform = ObserverToPlatform,
                            .FromPlatform = PlatformToObserver},
               [this] { Finished.set_value(); }),
      Decisions(DecisionThread, Clock, makeOptions(Settings, Life),
                {.FromLinks = LinksToDecisions,
                 .ToLinks = DecisionsToLinks,
                 .FromOperators = MainToDecisions,
                 .ToObserver = DecisionsToObserver},
                {.FromFront = FrontToDecisions,
                 .ToFront = DecisionsToFront,
                 .FromPlatform = PlatformToDecisions,
                 .ToPlatform = DecisionsToPlatform}) {}

bool entry_process::listen() {
  // All of them are tried, so that one start reports every port that is taken.
  const bool FrontListens = reportListening(Front.listen(Settings.Callers),
                                            "callers", Settings.Callers);
  const bool LinksListen =
      reportListening(Links.listen(Settings.Links), "links", Settings.Links);
  const peer_address &Operators = Settings.Process.Operators;
  return reportListening(Observer.listen(Operators), "operators", Operators) &&
         FrontListens && LinksListen;
}

void entry_process::startDuties() {
  Platform.start();
  Decisions.attach();
  ObserverThread.start();
  DecisionThread.start();
  LinkThread.start();
  PlatformThread.start();
  FrontThread.start();
}

void entry_process::stopDuties() {
  FrontThread.stop();
  LinkThread.stop();
  PlatformThread.stop();
  DecisionThread.stop();
  ObserverThread.stop();
}

// Addresses are bound and time limits are agreed with peers at the start, so
// most settings take effect at the next one.
void entry_process::reload(const std::string &SettingsFile) {
  const auto Text = readFile(SettingsFile);
  if (!Text) {
    log(log_level::Warn, "settings", SettingsFile + " cannot be read.");
    return;
  }
  const auto Parsed = settings::parseEntry(*Text, SettingsFile);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    log(log_level::Warn, "settings",
        "The file has faults; the settings in force stay. " +
            toString(*Faults));
    return;
  }
  log(log_level::Info, "settings",
      "Read again. Changes take effect at the next start.");
}

int entry_process::run(const std::string &SettingsFile,
                       process_signals &Signals) {
  startDuties();
  const bool Ended = Signals.waitForStop(
      {.Stop = [this] { MainToDecisions.tryPush(stop_asked{}); },
       .Reload = [this, SettingsFile] { reload(SettingsFile); },
       .SettingsFile = SettingsFile},
      Finished.get_future());
  if (!Ended) {
    log(log_level::Warn, "entry", "SIGINT ends the process before its jobs.");
    return ExitFailed;
  }
  drain();
  return ExitDone;
}

void entry_process::drain() {
  log(log_level::Info, "callers", "Closes the connections of callers.");
  if (!runAndWait(FrontThread, FrontDrainLimit,
                  [this](std::function<void()> Done) {
                    Front.drain(std::move(Done));
                  })) {
    log(log_level::Warn, "callers",
        "Some callers have not read their answers.");
  }
  log(log_level::Info, "platform", "Takes the entry off the list of entries.");
  if (!runAndWait(PlatformThread, PlatformDrainLimit,
                  [this](std::function<void()> Done) {
                    Platform.finish(std::move(Done));
                  })) {
    log(log_level::Warn, "platform", "Some outcomes are not stored.");
  }
  log(log_level::Info, "links", "Closes the links to companions.");
  if (!runAndWait(LinkThread, LinkDrainLimit,
                  [this](std::function<void()> Done) {
                    Links.drain(std::move(Done));
                  })) {
    log(log_level::Warn, "links", "Some companions have not read everything.");
  }
  log(log_level::Info, "entry", "Ends.");
}

} // namespace

int runEntry(const settings::entry_settings &Settings,
             const std::string &SettingsFile, process_signals &Signals) {
  entry_process Process(Settings, drawIncarnation());
  if (!Process.listen()) {
    return ExitFailed;
  }
  return Process.run(SettingsFile, Signals);
}

} // namespace crocuswood::daemon
