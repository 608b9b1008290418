#include "network.h"

#include <algorithm>

namespace crocuswood::replay {

namespace {

bool names(const link_fault &Fault, const process &First,
           const process &Second) {
  const auto Fits = [](const std::string &Name, const process &Process) {
    return Name.empty() || Name == Process.getName() ||
           Name == Process.getZone();
  };
  return (Fits(Fault.First, First) && Fits(Fault.Second, Second)) ||
         (Fits(Fault.First, Second) && Fits(Fault.Second, First));
}

} // namespace

void network::listen(const peer_address &Address, process &Target) {
  Listeners[Address] = [&Target]() { return &Target; };
}

void network::balance(const peer_address &Address,
                      std::function<process *()> Choose) {
  Listeners[Address] = std::move(Choose);
}

duration network::getLatency(const std::string &From,
                             const std::string &To) const {
  return From == To ? Latencies.WithinZone : Latencies.BetweenZones;
}

bool network::isBlocked(const process &First, const process &Second) const {
  return std::ranges::any_of(Lasting, [&](const link_fault &Fault) {
    return Fault.Mode == link_mode::Partition && names(Fault, First, Second);
  });
}

duration network::getDelay(const process &First, const process &Second) const {
  duration Delay = getLatency(First.getZone(), Second.getZone());
  for (const link_fault &Fault : Lasting) {
    if (Fault.Mode == link_mode::Delay && names(Fault, First, Second)) {
      Delay += Fault.Span;
    }
  }
  return Delay;
}

void network::dial(process &Dialer, link_id Link, const peer_address &Address) {
  auto Connection = std::make_shared<connection>();
  Connection->Sides[0] = {
      .Owner = &Dialer, .Life = Dialer.getLife(), .Link = Link, .Open = true};
  Connections[{&Dialer, Link}] = {Connection, 0};
  All[NextNumber++] = Connection;
  const auto Listener = Listeners.find(Address);
  process *Target = Listener == Listeners.end() ? nullptr : Listener->second();
  if (Target != nullptr && isBlocked(Dialer, *Target)) {
    return; // Nothing answers; the dialler gives up by itself.
  }
  const duration There =
      Target == nullptr ? Latencies.BetweenZones : getDelay(Dialer, *Target);
  World.Loop.after(There, [=, this]() { accept(Connection, Target, Address); });
}

void network::accept(const connection_pointer &Connection, process *Target,
                     const peer_address &Address) {
  side &Dialer = Connection->Sides[0];
  if (!Dialer.Open) {
    return;
  }
  if (Target == nullptr || !Target->isAlive()) {
    breakOff(Connection, 0, "connection refused");
    return;
  }
  side &Acceptor = Connection->Sides[1];
  Acceptor = {.Owner = Target,
              .Life = Target->getLife(),
              .Link = link_id{NextAccepted++},
              .Open = true};
  Connections[{Target, Acceptor.Link}] = {Connection, 1};
  Target->deliver([Target, Link = Acceptor.Link, Address]() {
    Target->linkOpened(Link, Address);
  });
  carry(Connection, 1, [Address](side &Opened) {
    Opened.Owner->linkOpened(Opened.Link, Address);
  });
}

void network::carry(const connection_pointer &Connection, int From,
                    std::function<void(side &)> Work) {
  side &Sender = Connection->Sides[From];
  side &Receiver = Connection->Sides[1 - From];
  if (Connection->Silent || isBlocked(*Sender.Owner, *Receiver.Owner)) {
    // What was lost once leaves the connection without use.
    Connection->Silent = true;
    return;
  }
  const instant Arrival =
      std::max(Receiver.LastArrival,
               World.Loop.getNow() + getDelay(*Sender.Owner, *Receiver.Owner));
  Receiver.LastArrival = Arrival;
  World.Loop.at(Arrival, [Connection, From, Work = std::move(Work)]() {
    side &Taking = Connection->Sides[1 - From];
    if (Connection->Silent || Taking.Owner->getLife() != Taking.Life) {
      return;
    }
    Taking.Owner->deliver([Connection, From, Work]() {
      side &Open = Connection->Sides[1 - From];
      if (Open.Open) {
        Work(Open);
      }
    });
  });
}

void network::send(process &Sender, link_id Link,
                   std::vector<peer_message> Messages) {
  const auto Place = Connections.find({&Sender, Link});
  if (Place == Connections.end()) {
    return;
  }
  const auto &[Connection, Side] = Place->second;
  if (Connection->Sides[1 - Side].Owner == nullptr) {
    return;
  }
  peer_envelope Envelope{
      .Sent = Sender.getClock().next(Sender.getWallMicroseconds()),
      .Messages = std::move(Messages)};
  carry(Connection, Side, [Envelope = std::move(Envelope)](side &Open) {
    process &Receiver = *Open.Owner;
    Receiver.getClock().observe(Envelope.Sent, Receiver.getWallMicroseconds());
    Receiver.envelopeReceived(Open.Link, Envelope);
  });
}

void network::close(process &Sender, link_id Link) {
  const auto Place = Connections.find({&Sender, Link});
  if (Place == Connections.end()) {
    return;
  }
  const auto [Connection, Side] = Place->second;
  forget(Connection, Side);
  if (Connection->Sides[1 - Side].Owner != nullptr) {
    breakOff(Connection, 1 - Side, "closed by the peer");
  }
}

void network::breakOff(const connection_pointer &Connection, int Noticing,
                       const std::string &Reason) {
  const auto Notice = [this, Connection, Noticing, Reason](side &Open) {
    forget(Connection, Noticing);
    Open.Owner->linkClosed(Open.Link, Reason);
  };
  if (Connection->Sides[1 - Noticing].Owner != nullptr) {
    carry(Connection, 1 - Noticing, Notice);
    return;
  }
  side &Dialer = Connection->Sides[Noticing];
  World.Loop.after(Latencies.BetweenZones, [Connection, &Dialer, Notice]() {
    if (Dialer.Owner->getLife() != Dialer.Life) {
      return;
    }
    Dialer.Owner->deliver([Connection, &Dialer, Notice]() {
      if (Dialer.Open) {
        Notice(Dialer);
      }
    });
  });
}

void network::forget(const connection_pointer &Connection, int Side) {
  side &Closed = Connection->Sides[Side];
  Closed.Open = false;
  Connections.erase({Closed.Owner, Closed.Link});
}

void network::processEnded(process &Dead, bool Quiet) {
  for (const auto &[Number, Weak] : All) {
    const connection_pointer Connection = Weak.lock();
    for (int Side = 0; Connection && Side < 2; ++Side) {
      const side &Ending = Connection->Sides[Side];
      if (Ending.Owner != &Dead || !Ending.Open) {
        continue;
      }
      forget(Connection, Side);
      if (Quiet) {
        Connection->Silent = true;
      } else if (Connection->Sides[1 - Side].Owner != nullptr) {
        breakOff(Connection, 1 - Side, "connection reset");
      }
    }
  }
  std::erase_if(All, [](const auto &Item) { return Item.second.expired(); });
}

void network::apply(const link_fault &Fault) {
  if (Fault.Mode == link_mode::Heal) {
    std::erase_if(Lasting, [&Fault](const link_fault &Each) {
      const bool All = Fault.First.empty() && Fault.Second.empty();
      return All || (Each.First == Fault.First && Each.Second == Fault.Second);
    });
    return;
  }
  if (Fault.Mode != link_mode::Cut && Fault.Mode != link_mode::Silence) {
    Lasting.push_back(Fault);
    return;
  }
  for (const auto &[Number, Weak] : All) {
    const connection_pointer Connection = Weak.lock();
    if (!Connection || Connection->Sides[1].Owner == nullptr ||
        !names(Fault, *Connection->Sides[0].Owner,
               *Connection->Sides[1].Owner)) {
      continue;
    }
    if (Fault.Mode == link_mode::Silence) {
      Connection->Silent = true;
      continue;
    }
    breakOff(Connection, 0, "connection reset");
    breakOff(Connection, 1, "connection reset");
  }
}

} // namespace crocuswood::replay
