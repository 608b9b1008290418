#include "core_implementation.h"

#include <algorithm>
#include <utility>

namespace crocuswood::companion {

void core::implementation::on(const step &Step, const link_opened &Event) {
  link_state *Link = Links.find(Event.Link);
  if (Link == nullptr) {
    return;
  }
  Link->Opened = true;
  Link->LastHeard = Step.Now;
  Link->Unsent.emplace_back(
      companion_hello{.Companion = Options.Self,
                      .Zone = Options.Zone,
                      .Operators = Options.Operators,
                      .ConfigurationRevision = Configuration.Revision,
                      .Endpoint = Endpoint.getReport(),
                      .Load = Desk.refreshLoad()});
  // Before any end of a task, which would be placed again without them.
  if (crash_report Recent = Crashes.list(Step.Now); !Recent.Tasks.empty()) {
    Link->Unsent.emplace_back(std::move(Recent));
  }
  if (Evacuation.isKnown()) {
    Link->Unsent.emplace_back(evacuation::toMessage(Evacuation));
  }
}

void core::implementation::on(const step &Step, envelope_received &Event) {
  for (peer_message &Message : Event.Messages) {
    // A message may close the link; nothing after it counts then.
    link_state *Link = Links.find(Event.Link);
    if (Link == nullptr) {
      return;
    }
    Link->LastHeard = Step.Now;
    receive(Step, *Link, Message);
  }
}

void core::implementation::receive(const step &Step, link_state &Link,
                                   peer_message &Message) {
  if (const auto *Hello = std::get_if<entry_hello>(&Message)) {
    receiveHello(Step, Link, *Hello);
    return;
  }
  if (!Link.Entry) {
    Links.close(Step, Link.Id, "the first message was not a hello",
                Links.drawPause());
    return;
  }
  take(Step, *Entries.find(*Link.Entry), Message);
}

void core::implementation::receiveHello(const step &Step, link_state &Link,
                                        const entry_hello &Hello) {
  if (Hello.Version != PeerProtocolVersion || Link.Entry) {
    detach(Step, Link, "the hello was out of place or of another version");
    Links.close(Step, Link.Id, "unsuitable hello", Links.drawPause());
    return;
  }
  Links.addKnown(Hello.KnownEntries);
  replaceNamesake(Step, Hello.Entry);
  entry_peer *Peer = Entries.admit(Hello.Entry);
  if (Peer == nullptr) {
    Links.close(Step, Link.Id, "the tasks of this entry are forgotten",
                Links.drawPause());
    return;
  }
  if (Link.Id < Peer->NewestLink) {
    // What it carries may be older than what the newer link has settled.
    Links.noteAlias(Link.Address, Peer->Id.Incarnation);
    Links.close(Step, Link.Id, "the entry has had a newer link",
                Links.drawPause());
    return;
  }
  if (Peer->Link && Links.isBootstrapOnly(Link.Address)) {
    Links.close(Step, Link.Id, "the entry is linked already",
                Links.drawPause());
    return;
  }
  attach(Step, Link, *Peer);
  revision_push::note(*Peer, Hello.ConfigurationRevision);
}

void core::implementation::attach(const step &Step, link_state &Link,
                                  entry_peer &Peer) {
  if (Peer.Link) {
    const link_state *Older = Links.find(*Peer.Link);
    const peer_address OlderAddress = Older->Address;
    detach(Step, *Older, "a newer link to the same entry opened");
    Links.close(Step, Older->Id, "a newer link to the same entry opened",
                Links.drawPause());
    Links.noteAlias(OlderAddress, Peer.Id.Incarnation);
  }
  Link.Entry = Peer.Id.Incarnation;
  Peer.Link = Link.Id;
  Peer.NewestLink = Link.Id;
  Peer.Address = Link.Address;
  Peer.Gone = false;
  Peer.PushedRevision = 0;
  Peer.PushAt.reset();
  Peer.LeavingSeen = false;
  Peer.ResendEnds = true;
  Step.record(makeEvent(event_kind::LinkOpened, Peer.Id.Name));
}

void core::implementation::detach(const step &Step, const link_state &Link,
                                  const std::string &Reason) {
  if (!Link.Entry) {
    return;
  }
  entry_peer &Peer = *Entries.find(*Link.Entry);
  Peer.Link.reset();
  Peer.LinklessSince = Step.Now;
  timeline_event Event = makeEvent(event_kind::LinkClosed, Peer.Id.Name);
  Event.Reason = Reason;
  Step.record(std::move(Event));
}

void core::implementation::replaceNamesake(const step &Step,
                                           const process_id &Id) {
  for (auto &[Known, Peer] : Entries.getPeers()) {
    if (Peer.Id.Name != Id.Name || Known == Id.Incarnation || Peer.Gone) {
      continue;
    }
    Step.record(makeEvent(event_kind::PeerReplaced, Id.Name));
    if (Peer.Link) {
      const link_id Old = *Peer.Link;
      detach(Step, *Links.find(Old),
             "a new incarnation has replaced the entry");
      Links.close(Step, Old, "replaced", Links.drawPause());
    }
    dropEntry(Step, Peer);
  }
}

void core::implementation::dropEntry(const step &Step, entry_peer &Peer) {
  Peer.Gone = true;
  Desk.dropEntry(Step, Peer);
}

void core::implementation::take(const step &Step, entry_peer &Peer,
                                peer_message &Message) {
  if (auto *Placement = std::get_if<place_task>(&Message)) {
    if (Placement->Task.Job.Entry != Peer.Id.Incarnation) {
      const link_id Link = *Peer.Link;
      detach(Step, *Links.find(Link), "it placed another entry's task");
      Links.close(Step, Link, "another entry's task", Links.drawPause());
      return;
    }
    Desk.place(Step, Peer, std::move(*Placement));
  } else if (const auto *Withdrawal = std::get_if<withdraw_tasks>(&Message)) {
    Desk.withdraw(Step, Peer, *Withdrawal);
  } else if (const auto *Ends = std::get_if<acknowledge_ends>(&Message)) {
    Desk.acknowledge(Peer, *Ends);
  } else if (const auto *Request = std::get_if<resume_request>(&Message)) {
    Desk.resume(Step, Peer, *Request);
  } else if (const auto *Beat = std::get_if<entry_heartbeat>(&Message)) {
    revision_push::note(Peer, Beat->ConfigurationRevision);
    Peer.Stopping = Beat->Stopping;
    Peer.LeavingSeen = Beat->LeavingSeen;
  } else if (const auto *List = std::get_if<entry_list>(&Message)) {
    Links.addKnown(List->Entries);
  } else if (const auto *Grant = std::get_if<lease_grant>(&Message)) {
    Leases.grant(Step, Peer, *Grant);
  } else if (auto *Push = std::get_if<configuration_push>(&Message)) {
    Peer.Revision = std::max(Peer.Revision, Push->Configuration.Revision);
    adopt(Step, std::move(Push->Configuration));
  } else if (const auto *Update = std::get_if<evacuation_update>(&Message)) {
    receiveEvacuation(Step, Peer, *Update);
  }
}

void core::implementation::receiveEvacuation(const step &Step,
                                             const entry_peer &Peer,
                                             const evacuation_update &Update) {
  timeline_event Event = makeEvent(event_kind::EvacuationChanged, Peer.Id.Name);
  const evacuation::verdict Verdict =
      evacuation::merge(Evacuation, evacuation::fromMessage(Update));
  Event.Reason = evacuation::describe(Evacuation);
  if (Verdict == evacuation::verdict::Outdated) {
    Event.Kind = event_kind::EvacuationOutdated;
    Event.Value = static_cast<std::int64_t>(Update.Version);
    Step.record(std::move(Event));
    Links.find(*Peer.Link)
        ->Unsent.emplace_back(evacuation::toMessage(Evacuation));
    return;
  }
  if (Verdict == evacuation::verdict::Unchanged) {
    return;
  }
  const bool IsEvacuated = Evacuation.isEvacuated(Options.Zone);
  Event.Value = IsEvacuated ? 1 : 0;
  Step.record(std::move(Event));
  // For entries that can't reach their store.
  Links.broadcast(evacuation::toMessage(Evacuation));
  if (!IsEvacuated) {
    DrainsSince.reset();
  } else if (!DrainsSince) {
    DrainsSince = Step.Now;
  }
  if (Endpoint.setEvacuated(IsEvacuated)) {
    reportEndpoint(Step, not_started_reason::Leaving);
  }
}

void core::implementation::noteDrained(const step &Step) {
  if (!DrainsSince || !Desk.isIdle()) {
    return;
  }
  timeline_event Event;
  Event.Kind = event_kind::EvacuationDrained;
  Event.Value = (Step.Now - *DrainsSince).count();
  Step.record(std::move(Event));
  DrainsSince.reset();
}

void core::implementation::on(const step &Step, const link_closed &Event) {
  if (const link_state *Link = Links.find(Event.Link)) {
    detach(Step, *Link, Event.Reason);
    Links.forget(Step.Now, Event.Link);
  }
}

void core::implementation::on(const step & /*Step*/,
                              const entries_read &Event) {
  Links.setListed(Event.Entries);
}

void core::implementation::on(const step & /*Step*/,
                              const bootstrap_changed &Event) {
  Links.addKnown(Event.Entries);
}

void core::implementation::on(const step &Step, configuration_read &Event) {
  adopt(Step, std::move(Event.Configuration));
}

void core::implementation::adopt(const step &Step, configuration Value) {
  timeline_event Event;
  Event.Value = static_cast<std::int64_t>(Value.Revision);
  if (Value.Revision <= Configuration.Revision) {
    if (Value.Revision < Configuration.Revision) {
      Event.Kind = event_kind::ConfigurationIgnored;
      Step.record(std::move(Event));
    }
    return;
  }
  Configuration = std::move(Value);
  Event.Kind = event_kind::ConfigurationInForce;
  Step.record(std::move(Event));
  tellPools(Step);
  // Its classes may need more than before.
  Desk.giveBackUnsupported(Step);
  // Entries that hear of it do not send it.
  Links.broadcast(makeHeartbeat());
}

void core::implementation::tellPools(const step &Step) {
  std::set<std::string> Named;
  for (const auto &[Name, Class] : Configuration.Classes) {
    Named.insert(Class.Pool.empty() ? Name : Class.Pool);
  }
  if (Named != Pools) {
    Pools = std::move(Named);
    Step.Actions.emplace_back(pools_configured{Pools});
  }
}

void core::implementation::on(const step &Step,
                              const timer_expired & /*Event*/) {
  Wake.reset();
  closeSilentLinks(Step);
  dropLostEntries(Step);
  if (Endpoint.checkSilence(Step)) {
    reportEndpoint(Step, not_started_reason::Leaving);
  }
  addHeartbeats(Step);
}

void core::implementation::closeSilentLinks(const step &Step) {
  for (const link_id Id : Links.listSilent(Step.Now)) {
    const link_state &Link = *Links.find(Id);
    if (Link.Entry) {
      Step.record(makeEvent(event_kind::LinkSilent,
                            Entries.find(*Link.Entry)->Id.Name));
    }
    detach(Step, Link, "the link fell silent");
    Links.close(Step, Id, "the link fell silent", duration::zero());
  }
}

void core::implementation::dropLostEntries(const step &Step) {
  for (auto &[Id, Peer] : Entries.getPeers()) {
    if (!Peer.Gone && !Peer.Link &&
        Step.Now - Peer.LinklessSince >= Options.EntryLossLimit) {
      dropEntry(Step, Peer);
    }
  }
}

void core::implementation::addHeartbeats(const step &Step) {
  for (const link_id Id : Links.listIdle(Step.Now)) {
    Links.find(Id)->Unsent.emplace_back(makeHeartbeat());
  }
}

void core::implementation::noteActivity(const step &Step) {
  for (auto &[Id, Link] : Links.getLinks()) {
    if (!Link.Entry) {
      continue;
    }
    const entry_peer *Peer = Entries.find(*Link.Entry);
    Link.Activity.note(Peer != nullptr && (Desk.hasTasks(*Link.Entry) ||
                                           Peer->Ends.getSize() > 0),
                       Step.Now);
  }
}

companion_heartbeat core::implementation::makeHeartbeat() {
  return {.ConfigurationRevision = Configuration.Revision,
          .Load = Desk.refreshLoad(),
          .Entries = Links.countLinked()};
}

void core::implementation::on(const step &Step,
                              const stop_requested & /*Event*/) {
  if (Stopping) {
    return;
  }
  Stopping = true;
  LastRunEnd = Step.Now;
  if (Endpoint.leave()) {
    reportEndpoint(Step, not_started_reason::Leaving);
  }
}

void core::implementation::finishEvent(const step &Step) {
  Leases.check(Step, [this] { return makeHeartbeat(); });
  Desk.stopOverdue(Step);
  Desk.startTasks(Step);
  noteDrained(Step);
  if (Stopping && !Desk.isIdle()) {
    LastRunEnd = Step.Now;
  }
  Links.dialDue(Step);
  for (auto &[Id, Peer] : Entries.getPeers()) {
    Revisions.check(Step, Peer);
  }
  noteActivity(Step);
  const auto Next = findNextWake(Step.Now);
  if (Next && (!Wake || *Next < *Wake)) {
    Wake = Next;
    Step.Actions.emplace_back(wake_at{.At = *Next});
  }
}

std::optional<instant> core::implementation::findNextWake(instant Now) const {
  std::optional<instant> Next = Links.getNextWake();
  const auto Consider = [&Next](std::optional<instant> At) {
    if (At) {
      Next = Next ? std::min(*Next, *At) : At;
    }
  };
  Consider(Endpoint.getNextWake());
  Consider(Desk.getNextWake());
  for (const auto &[Id, Peer] : Entries.getPeers()) {
    if (!Peer.Gone && !Peer.Link) {
      Consider(Peer.LinklessSince + Options.EntryLossLimit);
    }
    Consider(Peer.PushAt);
  }
  Consider(Leases.findNextWake(Now));
  if (Stopping && !StopFinished) {
    Consider(LastRunEnd + Options.EntryLossLimit);
  }
  return Next;
}

void core::implementation::flush(const step &Step) {
  for (auto &[Id, Peer] : Entries.getPeers()) {
    if (Peer.Link && Peer.ResendEnds) {
      Desk.resendEnds(Peer);
    }
  }
  const companion_load Load = Desk.refreshLoad();
  for (auto &[Id, Link] : Links.getLinks()) {
    if (Link.Unsent.empty()) {
      continue;
    }
    for (peer_message &Message : Link.Unsent) {
      if (auto *Ended = std::get_if<task_ended>(&Message)) {
        Ended->Load = Load;
      }
    }
    if (Options.EntryLease > duration::zero()) {
      Link.Unsent.emplace_back(
          lease_request{.At = Step.Now.time_since_epoch()});
    }
    Link.LastSent = Step.Now;
    Step.Actions.emplace_back(
        send_messages{.Link = Id, .Messages = std::exchange(Link.Unsent, {})});
  }
  if (isFinished(Step.Now)) {
    StopFinished = true;
    Step.Actions.emplace_back(stop_finished{});
  }
}

bool core::implementation::isFinished(instant Now) const {
  if (!Stopping || StopFinished || !Desk.isIdle()) {
    return false;
  }
  if (Now - LastRunEnd >= Options.EntryLossLimit) {
    return true;
  }
  return Entries.countRetained() == 0 && Entries.haveSeenLeaving();
}

status core::implementation::getStatus() const {
  status Status{.Stopping = Stopping,
                .ConfigurationRevision = Configuration.Revision,
                .EndpointName = Endpoint.getName(),
                .Endpoint = Endpoint.getReport(),
                .Load = Desk.getLoad(),
                .Started = Desk.getStarted(),
                .Retained = Entries.countRetained(),
                .RetainedBytes = Entries.countRetainedBytes(),
                .Evacuation = Evacuation};
  for (const auto &[Id, Peer] : Entries.getPeers()) {
    if (Peer.Gone) {
      continue;
    }
    const auto [Queued, Running] = Desk.countTasks(Id);
    Status.Entries.push_back(entry_status{.Name = Peer.Id.Name,
                                          .Address = Peer.Address,
                                          .Linked = Peer.Link.has_value(),
                                          .Queued = Queued,
                                          .Running = Running});
  }
  return Status;
}

} // namespace crocuswood::companion
