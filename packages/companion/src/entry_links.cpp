#include "entry_links.h"

#include <algorithm>

namespace crocuswood::companion {

namespace {

/// Dials in a row without a hello after which an address that the table service
/// does not list is forgotten.
constexpr std::uint32_t MaxFailures = 20;

} // namespace

entry_links::entry_links(const options &Options)
    : Options(Options), Intervals{.Heartbeat = Options.HeartbeatInterval,
                                  .Idle = Options.IdleHeartbeatInterval,
                                  .Silence = Options.SilenceLimit},
      Dials(!Options.AwaitEndpoint), Generator(Options.Seed) {
  for (const peer_address &Address : Options.Bootstrap) {
    Addresses[Address].Bootstrap = true;
  }
}

void entry_links::setListed(const std::vector<peer_address> &Listed) {
  if (Listed.empty()) {
    return;
  }
  for (auto &[Address, State] : Addresses) {
    State.Listed = false;
  }
  for (const peer_address &Address : Listed) {
    address_state &State = Addresses[Address];
    State.Listed = true;
    State.Known = true;
  }
}

void entry_links::addKnown(const std::vector<peer_address> &Told) {
  for (const peer_address &Address : Told) {
    Addresses[Address].Known = true;
  }
}

bool entry_links::isBootstrapOnly(const peer_address &Address) const {
  const auto Place = Addresses.find(Address);
  return Place != Addresses.end() && Place->second.Bootstrap &&
         !Place->second.Known;
}

void entry_links::noteAlias(const peer_address &Address, incarnation Entry) {
  Addresses[Address].Alias = Entry;
}

bool entry_links::isLinked(incarnation Entry) const {
  return std::ranges::any_of(
      Links, [&](const auto &Item) { return Item.second.Entry == Entry; });
}

bool entry_links::isWanted(const address_state &State) const {
  if (State.Link || (State.Alias && isLinked(*State.Alias))) {
    return false;
  }
  return State.Known || (State.Bootstrap && countLinked() == 0);
}

std::uint32_t entry_links::countLinked() const {
  return static_cast<std::uint32_t>(std::ranges::count_if(
      Links, [](const auto &Item) { return Item.second.Entry.has_value(); }));
}

void entry_links::broadcast(const peer_message &Message) {
  for (auto &[Id, Link] : Links) {
    if (Link.Opened) {
      Link.Unsent.push_back(Message);
    }
  }
}

void entry_links::dialDue(const step &Step) {
  if (!Dials) {
    return;
  }
  std::erase_if(Addresses, [](const auto &Item) {
    const address_state &State = Item.second;
    return !State.Listed && !State.Bootstrap && !State.Link &&
           State.Failures >= MaxFailures;
  });
  for (auto &[Address, State] : Addresses) {
    if (!isWanted(State) || State.NextDial > Step.Now) {
      continue;
    }
    const link_id Link{NextLink++};
    State.Link = Link;
    ++State.Failures;
    Links.emplace(Link, link_state{.Id = Link,
                                   .Address = Address,
                                   .LastHeard = Step.Now,
                                   .LastSent = Step.Now});
    Step.Actions.emplace_back(dial_entry{.Link = Link, .Address = Address});
  }
}

link_state *entry_links::find(link_id Link) {
  const auto Place = Links.find(Link);
  return Place == Links.end() ? nullptr : &Place->second;
}

void entry_links::close(const step &Step, link_id Link,
                        const std::string &Reason, duration Pause) {
  const auto Place = Links.find(Link);
  if (Place == Links.end()) {
    return;
  }
  Step.Actions.emplace_back(close_link{.Link = Link, .Reason = Reason});
  release(Step.Now, Place->second, Pause);
  Links.erase(Place);
}

void entry_links::forget(instant Now, link_id Link) {
  const auto Place = Links.find(Link);
  if (Place == Links.end()) {
    return;
  }
  release(Now, Place->second, drawPause());
  Links.erase(Place);
}

void entry_links::release(instant Now, const link_state &Link, duration Pause) {
  const auto Place = Addresses.find(Link.Address);
  if (Place == Addresses.end()) {
    return;
  }
  address_state &State = Place->second;
  State.Link.reset();
  State.NextDial = Now + Pause;
  if (Link.Entry) {
    State.Failures = 0;
  }
}

instant entry_links::getDeadline(const link_state &Link) const {
  // Nothing is idle about a link whose entry has not said hello yet.
  return Link.Entry ? Link.Activity.getDeadline(Intervals, Link.LastHeard)
                    : Link.LastHeard + Intervals.Silence;
}

std::vector<link_id> entry_links::listSilent(instant Now) const {
  std::vector<link_id> Silent;
  for (const auto &[Id, Link] : Links) {
    if (Now >= getDeadline(Link)) {
      Silent.push_back(Id);
    }
  }
  return Silent;
}

std::vector<link_id> entry_links::listIdle(instant Now) const {
  std::vector<link_id> Idle;
  for (const auto &[Id, Link] : Links) {
    if (Link.Entry &&
        Now - Link.LastSent >= Link.Activity.getInterval(Intervals)) {
      Idle.push_back(Id);
    }
  }
  return Idle;
}

std::optional<instant> entry_links::getNextWake() const {
  std::optional<instant> Next;
  const auto Consider = [&Next](instant At) {
    Next = Next ? std::min(*Next, At) : At;
  };
  for (const auto &[Address, State] : Addresses) {
    if (Dials && isWanted(State)) {
      Consider(State.NextDial);
    }
  }
  for (const auto &[Id, Link] : Links) {
    Consider(getDeadline(Link));
    if (Link.Entry) {
      Consider(Link.LastSent + Link.Activity.getInterval(Intervals));
    }
  }
  return Next;
}

} // namespace crocuswood::companion
