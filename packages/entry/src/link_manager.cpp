#include "link_manager.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace crocuswood::entry {

namespace {

// Earlier incarnations remembered for each companion.
constexpr std::size_t MaxReplaced = 4;
// Messages of a companion that are kept until it has answered. It answers
// within a round trip and sends a few meanwhile.
constexpr std::size_t MaxHeld = 256;

template <class... Handlers> struct overloads : Handlers... {
  using Handlers::operator()...;
};
template <class... Handlers> overloads(Handlers...) -> overloads<Handlers...>;

bool isHeartbeat(const peer_message &Message) {
  return std::holds_alternative<companion_heartbeat>(Message) ||
         std::holds_alternative<entry_heartbeat>(Message) ||
         std::holds_alternative<lease_request>(Message) ||
         std::holds_alternative<lease_grant>(Message);
}

} // namespace

link_manager::link_manager(entry_state &State, task_ends &Ends,
                           configuration_keeper &Configurations, health &Health)
    : State(State), Ends(Ends), Configurations(Configurations),
      Health(Health), Intervals{.Heartbeat = State.Options.HeartbeatInterval,
                                .Idle = State.Options.IdleHeartbeatInterval,
                                .Silence = State.Options.SilenceLimit} {}

void link_manager::open(link_id Link) {
  Pending[static_cast<std::uint64_t>(Link)] = {.OpenedAt = State.now()};
}

void link_manager::receive(link_id Link, std::vector<peer_message> Messages) {
  if (const auto Place = Pending.find(static_cast<std::uint64_t>(Link));
      Place != Pending.end()) {
    if (Place->second.Hello) {
      receiveClaim(Link, Messages);
    } else {
      receiveFirst(Link, Messages);
    }
    return;
  }
  const companion_index Companion = State.Companions.find(Link);
  if (Companion == NoCompanion) {
    return;
  }
  for (peer_message &Message : Messages) {
    if (State.Companions.find(Link) != Companion) {
      return;
    }
    dispatch(Companion, Message);
  }
  State.Companions[Companion].HeardAt = State.now();
}

void link_manager::receiveFirst(link_id Link,
                                std::vector<peer_message> &Messages) {
  const auto *Hello = Messages.empty()
                          ? nullptr
                          : std::get_if<companion_hello>(&Messages.front());
  if (Hello == nullptr) {
    refuseLink(Link, "The first message was not a hello.");
    return;
  }
  if (Hello->Version != PeerProtocolVersion) {
    refuseLink(Link, "The companion speaks protocol version " +
                         std::to_string(Hello->Version) + ".");
    return;
  }
  ++State.Messages.Received;
  closeClaims(Link, Hello->Companion);
  if (mustProve(*Hello)) {
    ask(Link, *Hello);
  } else {
    takeHello(Link, *Hello);
  }
  Messages.erase(Messages.begin());
  if (!Messages.empty()) {
    receive(Link, std::move(Messages));
  }
}

bool link_manager::mustProve(const companion_hello &Hello) const {
  const companion_index Known = State.Companions.find(Hello.Companion.Name);
  if (Known == NoCompanion) {
    return false;
  }
  const companion_record &Record = State.Companions[Known];
  return Record.Id != Hello.Companion &&
         std::find(Record.Replaced.begin(), Record.Replaced.end(),
                   Hello.Companion) == Record.Replaced.end();
}

void link_manager::ask(link_id Link, const companion_hello &Hello) {
  Pending[static_cast<std::uint64_t>(Link)].Hello = Hello;
  // A new incarnation has no task of this entry.
  std::vector<peer_message> Messages{makeHello(), resume_request{}};
  State.Messages.Sent += Messages.size();
  State.Sink.push(send_messages{.Link = Link, .Messages = std::move(Messages)});
}

void link_manager::receiveClaim(link_id Link,
                                std::vector<peer_message> &Messages) {
  pending_link &Claim = Pending[static_cast<std::uint64_t>(Link)];
  const bool IsAnswered = std::any_of(
      Messages.begin(), Messages.end(), [](const peer_message &Message) {
        return std::holds_alternative<resume_reply>(Message);
      });
  std::move(Messages.begin(), Messages.end(), std::back_inserter(Claim.Held));
  if (!IsAnswered) {
    if (Claim.Held.size() > MaxHeld) {
      refuseLink(Link, "The companion said much and answered nothing.");
    }
    return;
  }
  std::vector<peer_message> Held = std::move(Claim.Held);
  const companion_hello Hello = std::move(*Claim.Hello);
  takeHello(Link, Hello);
  receive(Link, std::move(Held));
}

// A companion that dials again has given up its earlier link.
void link_manager::closeClaims(link_id Link, const process_id &Companion) {
  std::vector<link_id> Outdated;
  for (const auto &[Other, Claim] : Pending) {
    if (link_id{Other} != Link && Claim.Hello &&
        Claim.Hello->Companion == Companion) {
      Outdated.push_back(link_id{Other});
    }
  }
  for (const link_id Each : Outdated) {
    refuseLink(Each, "The companion has opened a new link.");
  }
}

void link_manager::refuseLink(link_id Link, const std::string &Reason) {
  Pending.erase(static_cast<std::uint64_t>(Link));
  State.Sink.recordPeer(event_kind::LinkClosed, {}, Reason);
  State.Sink.push(close_link{.Link = Link, .Reason = Reason});
}

void link_manager::takeHello(link_id Link, const companion_hello &Hello) {
  const auto Place = Pending.find(static_cast<std::uint64_t>(Link));
  const bool WasAsked = Place->second.Hello.has_value();
  const companion_index Companion = enrol(Link, Hello);
  if (Companion == NoCompanion) {
    refuseLink(Link, "A newer incarnation of this companion is known.");
    return;
  }
  Pending.erase(Place);
  companion_record &Record = State.Companions[Companion];
  Record.Zone = Hello.Zone;
  Record.Operators = Hello.Operators;
  Record.Endpoint = Hello.Endpoint;
  Record.Load = Hello.Load;
  Record.Unseen.clear();
  Record.OthersAt = State.now();
  Record.ConfigurationRevision = Hello.ConfigurationRevision;
  Record.PushAt.reset();
  Record.HeardAt = State.now();
  State.Companions.attachLink(Companion, Link, State.now());
  State.Sink.recordPeer(event_kind::LinkOpened, Record.Id.Name);
  recordCold(Companion);
  if (!WasAsked) {
    greet(Companion);
  }
  // The outbox writes it before any placement, so that a companion of an
  // evacuated zone that has just started learns of it first.
  sendEvacuation(Companion);
  if (!WasAsked) {
    resume(Companion);
  } else if (State.Stopping) {
    sendHeartbeat(Companion);
  }
}

companion_index link_manager::enrol(link_id Link,
                                    const companion_hello &Hello) {
  const companion_index Known = State.Companions.find(Hello.Companion.Name);
  if (Known == NoCompanion) {
    const companion_index Added = State.Companions.add(Hello.Companion);
    Health.welcome(Added);
    return Added;
  }
  companion_record &Record = State.Companions[Known];
  const auto &Replaced = Record.Replaced;
  if (std::find(Replaced.begin(), Replaced.end(), Hello.Companion) !=
      Replaced.end()) {
    return NoCompanion;
  }
  if (Record.Link && *Record.Link != Link) {
    dropLink(Known, "The companion has opened a new link.");
  }
  if (Record.Id != Hello.Companion) {
    replace(Known, Hello.Companion);
  }
  return Known;
}

void link_manager::replace(companion_index Companion, const process_id &Next) {
  State.Sink.recordPeer(event_kind::PeerReplaced, Next.Name);
  Ends.loseAll(Companion, "The companion was replaced while it had the task.");
  companion_record &Record = State.Companions[Companion];
  Record.Replaced.push_back(Record.Id);
  if (Record.Replaced.size() > MaxReplaced) {
    Record.Replaced.erase(Record.Replaced.begin());
  }
  Record.Id = Next;
  Record.Outbox.clear();
  Health.welcome(Companion);
}

void link_manager::greet(companion_index Companion) {
  State.Companions.openOutbox(Companion).add(makeHello());
  if (State.Stopping) {
    sendHeartbeat(Companion);
  }
}

entry_hello link_manager::makeHello() const {
  return {.Entry = State.Options.Self,
          .Zone = State.Options.Zone,
          .ConfigurationRevision = State.Configuration.Revision,
          .KnownEntries = State.Entries};
}

void link_manager::resume(companion_index Companion) {
  const companion_record &Record = State.Companions[Companion];
  // Also without outstanding tasks: what the companion has in its queue from an
  // earlier link may run elsewhere by now, and must not start with the lease of
  // this one.
  resume_request Request;
  std::vector<task_id> Withdrawn;
  for (const task_ref &Task : Record.Outstanding) {
    Request.Outstanding.push_back(Task.getId());
    if (Task.get().Withdrawn) {
      Withdrawn.push_back(Task.getId());
    }
  }
  if (!Request.Outstanding.empty()) {
    State.Sink.recordPeer(
        event_kind::LinkResumed, Record.Id.Name, {},
        static_cast<std::int64_t>(Request.Outstanding.size()));
  }
  outbox &Outbox = State.Companions.openOutbox(Companion);
  Outbox.add(std::move(Request));
  for (const task_id &Task : Withdrawn) {
    Outbox.addWithdrawal(Task);
  }
}

void link_manager::dispatch(companion_index Companion, peer_message &Message) {
  ++(isHeartbeat(Message) ? State.Messages.Heartbeats
                          : State.Messages.Received);
  std::visit(
      overloads{
          [&](companion_heartbeat &Heartbeat) {
            takeLoad(Companion, Heartbeat.Load);
            State.Companions[Companion].Entries = Heartbeat.Entries;
            Configurations.noteRevision(Companion,
                                        Heartbeat.ConfigurationRevision);
          },
          [&](endpoint_report &Report) {
            State.Companions[Companion].Endpoint = std::move(Report);
            State.Companions.refreshClasses(Companion, State.now());
            recordCold(Companion);
            if (State.Companions[Companion].Endpoint.State !=
                endpoint_state::Serving) {
              // The companion's planned stop waits for this.
              sendHeartbeat(Companion);
            }
          },
          [&](task_ended &End) { Ends.takeEnd(Companion, std::move(End)); },
          [&](resume_reply &Reply) {
            for (const task_standing &Standing : Reply.Standing) {
              if (Standing.Place == task_place::Running) {
                Ends.noteRunning(Companion, Standing.Task);
              }
            }
          },
          [&](load_report &Report) {
            // Counted as waste until a placement follows from it.
            ++State.Messages.Wasted;
            State.Companions[Companion].ReportUnused = true;
            takeLoad(Companion, Report.Load);
          },
          [&](lease_request &Request) {
            companion_record &Record = State.Companions[Companion];
            Record.LeaseStamp = Request.At;
            Record.LeaseAsked = true;
            if (!Record.Outstanding.empty() &&
                State.now() - Record.GrantedAt >=
                    2 * State.Options.HeartbeatInterval) {
              // Tasks placed on a link that was idle start with the grant.
              sendHeartbeat(Companion);
            }
          },
          [&](configuration_push &Push) {
            companion_record &Record = State.Companions[Companion];
            Record.ConfigurationRevision = std::max(
                Record.ConfigurationRevision, Push.Configuration.Revision);
            if (Configurations.offer(Push.Configuration)) {
              announce();
            }
          },
          [&](crash_report &Report) { Ends.takeCrashes(Companion, Report); },
          [&](evacuation_update &Update) {
            receiveEvacuation(Companion, Update);
          },
          [&](auto &) {
            dropLink(Companion, "The companion sent an unexpected message.");
          }},
      Message);
}

void link_manager::recordCold(companion_index Companion) {
  const companion_record &Record = State.Companions[Companion];
  if (Record.ColdAt != State.now() || Record.ColdLeft != Record.ColdFrom ||
      !State.Companions.isCold(Companion, State.now())) {
    return;
  }
  State.Sink.recordPeer(
      event_kind::EndpointCold, Record.Id.Name,
      std::to_string(std::lround(Record.OfferedSlots)) + " of " +
          std::to_string(capacityOf(Record.Endpoint) / SlotRoom) +
          " slots are offered at first, and all of them evenly later.",
      Record.ColdLeft.count());
}

void link_manager::takeLoad(companion_index Companion,
                            const companion_load &Load) {
  const duration RoundTrip = State.Companions[Companion].RoundTrip;
  State.Companions.takeLoad(Companion, Load, State.now() - RoundTrip,
                            State.now());
}

void link_manager::close(link_id Link, const std::string &Reason) {
  if (Pending.erase(static_cast<std::uint64_t>(Link)) > 0) {
    return;
  }
  const companion_index Companion = State.Companions.find(Link);
  if (Companion == NoCompanion) {
    return;
  }
  State.Sink.recordPeer(event_kind::LinkClosed, State.companionName(Companion),
                        Reason);
  Ends.takeBackUnwritten(Companion);
  State.Companions[Companion].Outbox.clear();
  State.Companions.detachLink(Companion, State.now());
}

void link_manager::dropLink(companion_index Companion,
                            const std::string &Reason) {
  const link_id Link = *State.Companions[Companion].Link;
  close(Link, Reason);
  State.Sink.push(close_link{.Link = Link, .Reason = Reason});
}

// Evacuation.

bool link_manager::takeEvacuation(evacuation::state Told,
                                  const std::string &Source) {
  const evacuation::verdict Verdict =
      evacuation::merge(State.Evacuation, std::move(Told));
  if (Verdict != evacuation::verdict::Changed) {
    return Verdict == evacuation::verdict::Outdated;
  }
  State.Companions.refreshAllClasses(State.now());
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    if (State.Evacuation.isEvacuated(State.Companions[Index].Zone)) {
      Ends.takeBackUnwritten(Index);
    }
    sendEvacuation(Index);
  }
  State.Sink.record(
      {.Kind = event_kind::EvacuationChanged,
       .Reason = describeEvacuation(Source),
       .Value = std::llround(State.Companions.countServingSlots())});
  return false;
}

std::string link_manager::describeEvacuation(const std::string &Source) const {
  std::string Text =
      evacuation::describe(State.Evacuation) + "; told by " + Source;
  const auto &Names = State.Companions.getNames();
  for (const auto &Evacuated : State.Evacuation.Zones) {
    const std::string &Zone = Evacuated.first;
    if (std::none_of(Names.begin(), Names.end(), [&](const auto &Each) {
          return State.Companions[Each.second].Zone == Zone;
        })) {
      Text.append("; no companion is known in ").append(Zone);
      break;
    }
  }
  return Text;
}

void link_manager::sendEvacuation(companion_index Companion) {
  if (State.Companions[Companion].Link && State.Evacuation.isKnown()) {
    State.Companions.openOutbox(Companion).add(
        evacuation::toMessage(State.Evacuation));
  }
}

void link_manager::receiveEvacuation(companion_index Companion,
                                     const evacuation_update &Update) {
  const std::string Name = State.companionName(Companion);
  if (!takeEvacuation(evacuation::fromMessage(Update), Name)) {
    return;
  }
  // The companion may have missed a change that this entry saw only as one that
  // was revoked again.
  State.Sink.recordPeer(event_kind::EvacuationOutdated, Name,
                        evacuation::describe(State.Evacuation),
                        static_cast<std::int64_t>(Update.Version));
  sendEvacuation(Companion);
}

// Times.

void link_manager::closePendingLinks() {
  std::vector<link_id> Expired;
  for (const auto &[Link, Waiting] : Pending) {
    // What this process has not got to yet is no delay of the companion.
    if (State.now() - State.Overload.getLag() - Waiting.OpenedAt >
        State.Options.SilenceLimit) {
      Expired.push_back(link_id{Link});
    }
  }
  std::sort(Expired.begin(), Expired.end());
  for (const link_id Link : Expired) {
    refuseLink(Link, Pending[static_cast<std::uint64_t>(Link)].Hello
                         ? "No answer to the hello came in time."
                         : "No hello came in time.");
  }
}

void link_manager::checkTimes() {
  closePendingLinks();
  std::vector<companion_index> Known;
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    Known.push_back(Index);
  }
  for (const companion_index Companion : Known) {
    checkCompanion(Companion);
  }
}

void link_manager::checkCompanion(companion_index Companion) {
  companion_record &Record = State.Companions[Companion];
  if (!Record.Link) {
    const instant Since =
        State.Options.GrantsLeases ? Record.GrantedAt : Record.LinkLostAt;
    if (State.now() - Since >= State.Options.LossLimit) {
      Ends.loseAll(Companion,
                   "The companion had no link for too long with the task.");
      State.Companions.remove(Companion);
    }
    return;
  }
  Configurations.checkRevision(Companion);
  // The companion waits for the acknowledgements of its ends, too.
  Record.Activity.note(!Record.Outstanding.empty() ||
                           Record.Outbox.hasAcknowledgements(),
                       State.now());
  // What this process has not got to yet is no silence of the companion.
  if (State.now() - State.Overload.getLag() >
      Record.Activity.getDeadline(Intervals, Record.HeardAt)) {
    State.Sink.recordPeer(event_kind::LinkSilent, Record.Id.Name);
    dropLink(Companion, "The link was silent.");
    return;
  }
  if (State.now() - Record.SentAt >= Record.Activity.getInterval(Intervals)) {
    sendHeartbeat(Companion);
  }
}

void link_manager::sendHeartbeat(companion_index Companion) {
  const endpoint_report &Endpoint = State.Companions[Companion].Endpoint;
  State.Companions.openOutbox(Companion).add(entry_heartbeat{
      .ConfigurationRevision = State.Configuration.Revision,
      .KnownEntriesDigest = Configurations.getEntriesDigest(),
      .Stopping = State.Stopping,
      .LeavingSeen = Endpoint.State != endpoint_state::Serving});
}

void link_manager::grantLeases() {
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    const companion_record &Record = State.Companions[Index];
    if (Record.Link && Record.LeaseAsked && !Record.Outstanding.empty()) {
      sendHeartbeat(Index);
    }
  }
}

void link_manager::announce() {
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    if (State.Companions[Index].Link) {
      sendHeartbeat(Index);
    }
  }
}

// Writing.

void link_manager::flush() {
  for (const companion_index Companion : State.Companions.takeDirty()) {
    if (State.Companions[Companion].Link &&
        State.Companions[Companion].Outbox.isDue()) {
      write(Companion);
    }
  }
}

void link_manager::recordPlacements(companion_index Companion) {
  const companion_record &Record = State.Companions[Companion];
  for (const pending_placement &Placement : Record.Outbox.getPlacements()) {
    Placement.Task.get().Written = true;
    State.Sink.record({.Kind = event_kind::TaskPlaced,
                       .Job = Placement.Message.Task.Job,
                       .Task = Placement.Message.Task.Index,
                       .Class = Placement.Message.Class,
                       .Peer = Record.Id.Name,
                       .Value = (State.now() - Record.OthersAt).count()});
  }
}

void link_manager::write(companion_index Companion) {
  companion_record &Record = State.Companions[Companion];
  recordPlacements(Companion);
  std::vector<peer_message> Messages =
      Record.Outbox.take(State.Queue.getCount());
  if (Record.LeaseAsked && !State.awaitsCallers()) {
    Record.LeaseAsked = false;
    Record.GrantedAt = State.now();
    Messages.emplace_back(lease_grant{.At = Record.LeaseStamp});
  }
  for (const peer_message &Message : Messages) {
    ++(isHeartbeat(Message) ? State.Messages.Heartbeats : State.Messages.Sent);
    if (std::holds_alternative<withdraw_tasks>(Message)) {
      ++State.Messages.Wasted;
    }
  }
  Record.SentAt = State.now();
  State.Sink.push(
      send_messages{.Link = *Record.Link, .Messages = std::move(Messages)});
}

} // namespace crocuswood::entry
