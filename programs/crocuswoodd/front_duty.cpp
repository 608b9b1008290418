#include "front_duty.h"

#include <utility>

namespace crocuswood::daemon {

front_duty::front_duty(rings::duty &Duty, http::server_limits Limits,
                       rings::ring<front_item> &ToDecisions,
                       rings::ring<entry::answer_caller> &FromDecisions)
    : ToDecisions(ToDecisions), Ring(ToDecisions), FromDecisions(FromDecisions),
      Retry(Duty.getContext(), [this] { return this->ToDecisions.flush(); }),
      Front(Duty.getContext(), Limits, *this) {
  Duty.setDrain([this] { takeAnswers(); });
}

front_duty::~front_duty() = default;

checked<std::uint16_t> front_duty::listen(const peer_address &Address) {
  return Front.listen(Address);
}

void front_duty::drain(std::function<void()> Done) {
  takeAnswers();
  Front.stopAccepting();
  Front.drain(std::move(Done));
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

void front_duty::takeAnswers() {
  entry::answer_caller Answer;
  while (FromDecisions.tryPop(Answer)) {
    // A caller that has gone was reported by jobCancelled() already.
    Front.answer(Answer.Request, Answer.Answer);
  }
}

} // namespace crocuswood::daemon
