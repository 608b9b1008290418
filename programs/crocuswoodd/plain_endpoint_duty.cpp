#include "plain_endpoint_duty.h"

#include "json_errors.h"
#include "overloaded.h"

#include <utility>

namespace crocuswood::daemon {

namespace {

// Announcements are small.
http::server_limits makeAnnouncementLimits(http::memory_account &Memory) {
  return {.MaxConnections = 64, .MaxBodyBytes = 64U * 1024, .Memory = &Memory};
}

endpoint_item toItem(const task_id &Task, endpoint_outcome Outcome) {
  return std::visit(
      overloaded{[&](endpoint_completed &Completed) -> endpoint_item {
                   return companion::run_completed{
                       .Task = Task, .Output = std::move(Completed.Output)};
                 },
                 [&](endpoint_failed &Failed) -> endpoint_item {
                   return companion::run_failed{
                       .Task = Task, .Reason = std::move(Failed.Reason)};
                 },
                 [&](endpoint_not_reached &NotReached) -> endpoint_item {
                   return companion::run_not_reached{
                       .Task = Task, .Reason = std::move(NotReached.Reason)};
                 },
                 [&](endpoint_lost &Lost) -> endpoint_item {
                   return companion::run_lost{.Task = Task,
                                              .Reason = std::move(Lost.Reason)};
                 }},
      Outcome);
}

} // namespace

plain_endpoint_duty::plain_endpoint_duty(
    rings::duty &Duty, http::memory_account &Memory, duration RunLimit,
    rings::ring<endpoint_item> &ToDecisions,
    rings::ring<endpoint_command> &FromDecisions)
    : ToDecisions(ToDecisions), FromDecisions(FromDecisions),
      Retry(Duty.getContext(), [this] { return this->ToDecisions.flush(); }),
      Announcements(Duty.getContext(), makeAnnouncementLimits(Memory),
                    [this](const http::plain_request &Request,
                           const http::plain_server::respond &Respond) {
                      serve(Request, Respond);
                    }),
      Endpoint(Duty.getContext(), RunLimit) {
  Duty.setDrain([this] { takeCommands(); });
}

checked<std::uint16_t>
plain_endpoint_duty::listen(const peer_address &Address) {
  return Announcements.listen(Address);
}

void plain_endpoint_duty::serve(const http::plain_request &Request,
                                const http::plain_server::respond &Respond) {
  if (Request.Path != "/v1/announce") {
    Respond(makeError(404, "not_found", "There is only /v1/announce here."));
    return;
  }
  if (Request.Method != "POST") {
    Respond(makeError(405, "method_not_allowed",
                      "Announcements are sent with POST."));
    return;
  }
  auto Parsed = http::parseAnnouncement(Request.Body);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    Respond(makeError(400, "invalid_request", "The announcement has faults.",
                      *Faults));
    return;
  }
  auto &Announcement = std::get<companion::endpoint_announcement>(Parsed);
  push(companion::endpoint_announced{.Announcement = std::move(Announcement)});
  Respond({.Status = 204});
}

void plain_endpoint_duty::takeCommands() {
  endpoint_command Command;
  while (FromDecisions.tryPop(Command)) {
    std::visit(
        overloaded{[&](companion::start_task &Start) { run(std::move(Start)); },
                   // Endpoints of this interface say what they run.
                   [](const companion::pools_configured & /*Configured*/) {},
                   [&](const companion::stop_task &Stop) {
                     Endpoint.stop(Stop.Endpoint, Stop.Task);
                   }},
        Command);
  }
}

void plain_endpoint_duty::run(companion::start_task Start) {
  const task_id Task = Start.Task;
  endpoint_call Call{.Task = Task,
                     .Class = std::move(Start.Class),
                     .Input = std::move(Start.Input)};
  Endpoint.run(Start.Endpoint, std::move(Call),
               [this, Task](endpoint_outcome Outcome) {
                 push(toItem(Task, std::move(Outcome)));
               });
}

void plain_endpoint_duty::push(endpoint_item Item) {
  ToDecisions.push(std::move(Item));
  if (ToDecisions.isBlocked()) {
    Retry.arm();
  }
}

} // namespace crocuswood::daemon
