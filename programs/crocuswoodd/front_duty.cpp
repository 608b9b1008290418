#include "front_duty.h"

#include "overloaded.h"

#include <utility>

namespace crocuswood::daemon {

front_duty::front_duty(rings::duty &Duty, const open_front &OpenFront,
                       rings::ring<front_item> &ToDecisions,
                       rings::ring<front_command> &FromDecisions)
    : ToDecisions(ToDecisions), Ring(ToDecisions), FromDecisions(FromDecisions),
      Retry(Duty.getContext(), [this] { return this->ToDecisions.flush(); }),
      Front(OpenFront(Duty.getContext(), *this)) {
  Duty.setDrain([this] { takeCommands(); });
}

front_duty::~front_duty() = default;

checked<std::uint16_t> front_duty::listen(const peer_address &Address) {
  return Front->listen(Address);
}

void front_duty::drain(std::function<void()> Done) {
  takeCommands();
  Front->stopAccepting();
  Front->drain(std::move(Done));
}

bool front_duty::jobSubmitted(request_id Request, job_request Job) {
  // A full ring means that the decisions are behind; the caller is told at
  // once.
  if (ToDecisions.isBlocked()) {
    return false;
  }
  return Ring.tryPush(
      entry::job_submitted{.Request = Request, .Job = std::move(Job)});
}

void front_duty::jobCancelled(request_id Request, bool CallerGone) {
  ToDecisions.push(
      entry::job_cancelled{.Request = Request, .CallerGone = CallerGone});
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

void front_duty::inputDropped(std::uint64_t Bytes) {
  ToDecisions.push(input_dropped{.Bytes = Bytes});
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

void front_duty::checkCallers() {
  Front->checkCallers();
  ToDecisions.push(entry::callers_checked{});
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

void front_duty::takeCommands() {
  front_command Command;
  while (FromDecisions.tryPop(Command)) {
    std::visit(
        overloaded{[&](const entry::answer_caller &Answer) {
                     // A caller that has gone was reported by
                     // jobCancelled() already.
                     Front->answer(Answer.Request, Answer.Answer);
                   },
                   [&](const entry::configuration_adopted &Adopted) {
                     Front->setConfiguration(Adopted.Configuration);
                   },
                   [&](const stop_announced &) { Front->announceStop(); },
                   [&](const entry::steer_callers &Steer) {
                     Front->steerCallers(Steer.Away);
                   },
                   // A job on such a connection would only be refused.
                   [&](const entry::intake_closed &) { Front->closeIdle(); },
                   [&](const entry::check_callers &) { checkCallers(); }},
        Command);
  }
}

} // namespace crocuswood::daemon
