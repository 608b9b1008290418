#include "entry_harness.h"

#include <utility>

namespace crocuswood::entry {

namespace {

constexpr duration Step = std::chrono::milliseconds(50);
constexpr duration EndedRunTime = std::chrono::milliseconds(100);

} // namespace

entry_harness::entry_harness(options Options) : Core(std::move(Options)) {}

options entry_harness::defaults() {
  return {.Self = {.Name = "entry-1", .Incarnation = EntryIncarnation},
          .Zone = "a"};
}

configuration entry_harness::defaultConfiguration(std::uint64_t Revision) {
  configuration Configuration{.Revision = Revision};
  Configuration.Classes["fast"] = {.Name = "fast",
                                   .AnswerWithin =
                                       std::chrono::milliseconds(400),
                                   .RefuseAtMost = 0.1};
  Configuration.Classes["slow"] = {.Name = "slow",
                                   .AnswerWithin = std::chrono::seconds(4),
                                   .RefuseAtMost = 0.1};
  Configuration.Classes["sale"] = {.Name = "sale",
                                   .AnswerWithin = std::chrono::seconds(1),
                                   .Idempotent = false};
  Configuration.Teams["acme"] = {.Name = "acme"};
  Configuration.Teams["capped"] = {.Name = "capped", .TaskStartsPerSecond = 10};
  return Configuration;
}

void entry_harness::handleOnly(event Event) {
  const std::size_t From = Actions.size();
  Core.handle(Now, std::move(Event), Actions);
  noteAnswers(From);
}

void entry_harness::flush() { Core.flush(Now, Actions); }

void entry_harness::handle(event Event) {
  handleOnly(std::move(Event));
  flush();
}

void entry_harness::pass(duration Span) {
  const instant End = Now + Span;
  while (Now < End) {
    Now = std::min(Now + Step, End);
    handle(timer_expired{});
  }
}

void entry_harness::connect(link_id Link, const std::string &Name,
                            std::uint32_t Slots, incarnation Incarnation) {
  const std::size_t Asked = sent<resume_request>(Link).size();
  greet(Link, Name, Slots, Incarnation);
  if (sent<resume_request>(Link).size() > Asked) {
    receive(Link, {resume_reply{}});
  }
}

void entry_harness::greet(link_id Link, const std::string &Name,
                          std::uint32_t Slots, incarnation Incarnation) {
  handle(link_opened{.Link = Link});
  receive(Link, {companion_hello{
                    .Companion = {.Name = Name, .Incarnation = Incarnation},
                    .Zone = "a",
                    .ConfigurationRevision = 1,
                    .Endpoint = {.State = endpoint_state::Serving,
                                 .Classes = {"fast", "slow", "sale"},
                                 .Slots = Slots}}});
}

void entry_harness::receive(link_id Link, std::vector<peer_message> Messages) {
  handle(envelope_received{.Link = Link, .Messages = std::move(Messages)});
}

void entry_harness::end(link_id Link, const task_id &Task, task_end End) {
  ++Loads[Link].Sequence;
  receive(Link, {task_ended{
                    .Task = Task, .End = std::move(End), .Load = Loads[Link]}});
}

void entry_harness::complete(link_id Link, const task_id &Task,
                             const std::string &Output) {
  end(Link, Task,
      task_completed{.Output = payload(Output), .RunTime = EndedRunTime});
}

request_id entry_harness::submit(job_request Job) {
  const request_id Request{++LastRequest};
  handle(job_submitted{.Request = Request, .Job = std::move(Job)});
  return Request;
}

request_id entry_harness::submit(const std::string &Class, std::size_t Tasks,
                                 const std::string &Key,
                                 const std::string &Team) {
  job_request Job{.Class = Class, .Team = Team, .IdempotencyKey = Key};
  Job.Tasks.resize(Tasks);
  for (std::size_t Index = 0; Index < Tasks; ++Index) {
    Job.Tasks[Index].Input = payload(std::to_string(Index));
  }
  return submit(std::move(Job));
}

void entry_harness::noteAnswers(std::size_t From) {
  for (std::size_t Index = From; Index < Actions.size(); ++Index) {
    if (const auto *Answer = std::get_if<answer_caller>(&Actions[Index])) {
      Answers[Answer->Request].push_back(Answer->Answer);
    }
  }
}

const job_answer *entry_harness::answerOf(request_id Request) const {
  const auto Place = Answers.find(Request);
  // Two answers are as wrong as none.
  if (Place == Answers.end() || Place->second.size() != 1) {
    return nullptr;
  }
  return &Place->second.front();
}

const job_failure *entry_harness::failureOf(request_id Request) const {
  const job_answer *Answer = answerOf(Request);
  return Answer == nullptr ? nullptr
                           : std::get_if<job_failure>(&Answer->Outcome);
}

bool entry_harness::isNotRun(request_id Request, failure_code Code) const {
  const job_failure *Failure = failureOf(Request);
  return Failure != nullptr && Failure->Code == Code &&
         Failure->Certainty == run_certainty::NotRun;
}

bool entry_harness::mayHaveRun(request_id Request, failure_code Code) const {
  const job_failure *Failure = failureOf(Request);
  return Failure != nullptr && Failure->Code == Code &&
         Failure->Certainty == run_certainty::MayHaveRun;
}

bool entry_harness::isCompleted(request_id Request) const {
  const job_answer *Answer = answerOf(Request);
  return Answer != nullptr &&
         std::holds_alternative<job_results>(Answer->Outcome);
}

std::size_t entry_harness::countEvents(event_kind Kind) const {
  std::size_t Count = 0;
  for (const record_event &Each : actions<record_event>()) {
    Count += Each.Event.Kind == Kind ? 1 : 0;
  }
  return Count;
}

std::vector<task_id> entry_harness::placed(link_id Link) const {
  std::vector<task_id> Tasks;
  for (const place_task &Each : sent<place_task>(Link)) {
    Tasks.push_back(Each.Task);
  }
  return Tasks;
}

void entry_harness::clear() { Actions.clear(); }

std::vector<peer_message> entry_harness::messagesOn(link_id Link) const {
  std::vector<peer_message> Messages;
  for (const send_messages &Each : actions<send_messages>()) {
    if (Each.Link == Link) {
      Messages.insert(Messages.end(), Each.Messages.begin(),
                      Each.Messages.end());
    }
  }
  return Messages;
}

} // namespace crocuswood::entry
