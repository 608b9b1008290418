#include "fleet.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace crocuswood::replay {

namespace {

const peer_address Balancer{.Host = "10.255.0.1", .Port = 7000};
/// How long requests may take to end after the last input.
constexpr duration EndLimit = std::chrono::seconds(60);
/// How long each role may take for its planned stop at the end.
constexpr duration StopLimit = std::chrono::seconds(30);

peer_address makeAddress(std::size_t Number) {
  return {.Host = "10.0." + std::to_string(Number / 250) + "." +
                  std::to_string(Number % 250 + 1),
          .Port = 7000};
}

void set(const std::map<std::string, duration> &Settings,
         const std::string &Name, duration &Target) {
  const auto Place = Settings.find(Name);
  if (Place != Settings.end()) {
    Target = Place->second;
  }
}

} // namespace

fleet::fleet(const trace_content &Trace, entry::policy_kind Policy)
    : Trace(Trace), World{.Random = random_stream(Trace.Header.Seed),
                          .ClockSkew = Trace.Header.ClockSkew},
      Store(World.Loop, Trace.Header.Latencies.Store),
      Network(World, Trace.Header.Latencies) {
  if (Trace.Header.StoreHolds) {
    Store.write({.Key = std::string(config::HeadKey),
                 .Value = config::write(Trace.Header.Configuration)});
  }
  for (const entry_description &Entry : Trace.Header.Entries) {
    addEntry(Entry, Policy);
  }
  std::vector<entry_process *> Known;
  for (const auto &Entry : Entries) {
    Known.push_back(Entry.get());
  }
  Clients = std::make_unique<clients>(World, Trace.Header, Known);
  Network.balance(Balancer, [this]() -> process * {
    std::vector<process *> Alive;
    for (const auto &Entry : Entries) {
      if (Entry->isAlive()) {
        Alive.push_back(Entry.get());
      }
    }
    return Alive.empty() ? nullptr : Alive[World.Random.below(Alive.size())];
  });
  for (const companion_description &Companion : Trace.Header.Companions) {
    addCompanion(Companion);
  }
}

void fleet::addEntry(const entry_description &Description,
                     entry::policy_kind Policy) {
  const auto &Settings = Trace.Header.Settings;
  entry::options Options{.Policy = Policy};
  set(Settings, "heartbeat_interval", Options.HeartbeatInterval);
  set(Settings, "silence_limit", Options.SilenceLimit);
  set(Settings, "loss_limit", Options.LossLimit);
  set(Settings, "claim_limit", Options.ClaimLimit);
  const peer_address Address = makeAddress(Entries.size());
  Entries.push_back(std::make_unique<entry_process>(World, Description, Options,
                                                    Address, Network, Store));
  Network.listen(Address, *Entries.back());
}

void fleet::addCompanion(const companion_description &Description) {
  const auto &Settings = Trace.Header.Settings;
  companion::options Options{.Bootstrap = {Balancer}};
  set(Settings, "heartbeat_interval", Options.HeartbeatInterval);
  set(Settings, "silence_limit", Options.SilenceLimit);
  set(Settings, "loss_limit", Options.EntryLossLimit);
  set(Settings, "announcement_limit", Options.AnnouncementLimit);
  Companions.push_back(std::make_unique<companion_process>(
      World, Description, Options, Network, Store));
  companion_process &Companion = *Companions.back();
  Endpoints.push_back(std::make_unique<fake_endpoint>(
      World, Description,
      [&Companion](const companion::endpoint_announcement &Announcement) {
        Companion.announce(Announcement);
      },
      Runs));
  Companion.setEndpoint(*Endpoints.back());
}

template <class Kind>
Kind *fleet::findIn(const std::vector<std::unique_ptr<Kind>> &Processes,
                    const std::string &Name) {
  const auto Place = std::ranges::find_if(
      Processes, [&Name](const auto &Each) { return Each->getName() == Name; });
  return Place == Processes.end() ? nullptr : Place->get();
}

process *fleet::find(const std::string &Name) {
  if (process *Entry = findIn(Entries, Name)) {
    return Entry;
  }
  if (process *Companion = findIn(Companions, Name)) {
    return Companion;
  }
  return findIn(Endpoints, Name);
}

void fleet::run() {
  for (std::size_t Index = 0; Index < Entries.size(); ++Index) {
    if (Trace.Header.Entries[Index].Started) {
      Entries[Index]->start();
    }
  }
  for (std::size_t Index = 0; Index < Companions.size(); ++Index) {
    if (Trace.Header.Companions[Index].Started) {
      Companions[Index]->start();
      Endpoints[Index]->start();
    }
  }
  Clients->checkHealth();
  scheduleInputs();
  instant LastInput;
  if (!Trace.Arrivals.empty()) {
    LastInput = Trace.Arrivals.back().At;
  }
  for (const timed_fault &Fault : Trace.Faults) {
    LastInput = std::max(LastInput, Fault.At);
  }
  World.Loop.run(LastInput, []() { return false; });
  World.Loop.run(LastInput + EndLimit,
                 [this]() { return Clients->countWaiting() == 0; });
  noteRevisions();
  stopEverything();
}

void fleet::scheduleInputs() {
  for (const arrival &Arrival : Trace.Arrivals) {
    World.Loop.at(Arrival.At, [this, &Arrival]() { Clients->submit(Arrival); });
  }
  for (const timed_fault &Fault : Trace.Faults) {
    World.Loop.at(Fault.At, [this, &Fault]() {
      std::visit([this](const auto &Each) { apply(Each); }, Fault.Fault);
    });
  }
}

void fleet::noteRevisions() {
  std::vector<std::uint64_t> Revisions;
  for (const auto &Entry : Entries) {
    if (Entry->isAlive()) {
      Revisions.push_back(Entry->getConfiguration().Revision);
    }
  }
  for (const auto &Companion : Companions) {
    if (Companion->isAlive()) {
      Revisions.push_back(Companion->getConfiguration().Revision);
    }
  }
  if (!Revisions.empty()) {
    LeastRevision = *std::ranges::min_element(Revisions);
  }
}

void fleet::stopEverything() {
  const auto Stop = [this](const auto &Processes) {
    for (const auto &Process : Processes) {
      if (Process->isAlive()) {
        Process->thaw();
        Process->deliver([&Process]() { Process->requestStop(); });
      }
    }
    const auto IsAlive = [](const auto &Each) { return Each->isAlive(); };
    World.Loop.run(World.Loop.getNow() + StopLimit,
                   [&]() { return std::ranges::none_of(Processes, IsAlive); });
    Unstopped +=
        static_cast<std::uint64_t>(std::ranges::count_if(Processes, IsAlive));
  };
  Stop(Entries);
  Stop(Companions);
}

std::uint64_t fleet::countWasted() const {
  std::uint64_t Count = 0;
  for (const auto &Entry : Entries) {
    Count += Entry->countWasted();
  }
  return Count;
}

void fleet::end(process &Process, bool Quiet) {
  if (const auto *Entry = findIn(Entries, Process.getName())) {
    Clients->entryEnded(*Entry);
  }
  Network.processEnded(Process, Quiet);
  Process.kill();
}

void fleet::apply(const kill_process &Fault) {
  end(*find(Fault.What), Fault.Quiet);
}

void fleet::apply(const start_process &Fault) { find(Fault.What)->start(); }

void fleet::apply(const freeze_process &Fault) { find(Fault.What)->freeze(); }

void fleet::apply(const thaw_process &Fault) { find(Fault.What)->thaw(); }

void fleet::apply(const stop_process &Fault) {
  if (entry_process *Entry = findIn(Entries, Fault.What)) {
    Entry->deliver([Entry]() { Entry->requestStop(); });
  }
  if (companion_process *Companion = findIn(Companions, Fault.What)) {
    Companion->deliver([Companion]() { Companion->requestStop(); });
  }
}

void fleet::apply(const leave_endpoint &Fault) {
  fake_endpoint *Endpoint = findIn(Endpoints, Fault.What);
  Endpoint->deliver([Endpoint]() { Endpoint->leave(); });
}

void fleet::apply(const link_fault &Fault) { Network.apply(Fault); }

void fleet::apply(const store_fault &Fault) { Store.apply(Fault); }

void fleet::apply(const endpoint_fault &Fault) {
  findIn(Endpoints, Fault.What)->apply(Fault);
}

void fleet::apply(const configure &Fault) {
  entry_process *Entry = findIn(Entries, Fault.Entry);
  Entry->deliver([Entry, &Fault]() { Entry->change(Fault.Change); });
}

void fleet::apply(const cancel_wave &Fault) { Clients->cancel(Fault.Share); }

} // namespace crocuswood::replay
