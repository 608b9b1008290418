#include "link_duty.h"

#include "overloaded.h"

#include <utility>

namespace crocuswood::daemon {

link_duty::link_duty(rings::duty &Duty, wire::limits Limits,
                     rings::ring<link_item> &ToDecisions,
                     rings::ring<link_command> &FromDecisions)
    : ToDecisions(ToDecisions), FromDecisions(FromDecisions),
      Retry(Duty.getContext(), [this] { return this->ToDecisions.flush(); }),
      Links(Duty.getContext(), Limits, *this) {
  Duty.setDrain([this] { takeCommands(); });
}

link_duty::~link_duty() = default;

checked<std::uint16_t> link_duty::listen(const peer_address &Address) {
  return Links.listen(Address);
}

void link_duty::drain(std::function<void()> Done) {
  takeCommands();
  Links.stopListening();
  Links.drain(std::move(Done));
}

void link_duty::linkOpened(link_id Link, const peer_address &Remote) {
  push(link_up{.Link = Link, .Remote = Remote});
}

void link_duty::envelopeReceived(link_id Link, peer_envelope Envelope) {
  push(link_received{.Link = Link, .Envelope = std::move(Envelope)});
}

void link_duty::linkClosed(link_id Link, const std::string &Reason) {
  push(link_down{.Link = Link, .Reason = Reason});
}

void link_duty::push(link_item Item) {
  ToDecisions.push(std::move(Item));
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

void link_duty::takeCommands() {
  link_command Command;
  while (FromDecisions.tryPop(Command)) {
    std::visit(
        overloaded{
            [&](const dial_link &Dial) { Links.dial(Dial.Link, Dial.Remote); },
            [&](const write_link &Write) {
              Links.send(Write.Link, Write.Envelope);
            },
            [&](const drop_link &Drop) { Links.close(Drop.Link); }},
        Command);
  }
}

} // namespace crocuswood::daemon
