#include "answer_judge.h"

#include "key_groups.h"

namespace crocuswood::checker {

namespace {

void judgeSent(const job_id &Id, const job_history &Job, report &Report) {
  const auto Sent = Job.Events.getAll({event_kind::AnswerSent});
  const timeline_event *Completed = Job.Events.find(event_kind::JobCompleted);
  const bool Ended =
      Job.Events.hasAny({event_kind::JobCompleted, event_kind::JobFailed,
                         event_kind::JobRefused, event_kind::ClaimHeld});
  if (Sent.size() > 1) {
    Report.add("job " + toString(Id) + " was answered twice: " +
               toText(*Sent[0]) + ", " + toText(*Sent[1]) + ".");
  }
  for (const timeline_event *Answer : Sent) {
    if (!Ended) {
      Report.add("job " + toString(Id) +
                 " was answered without an end: " + toText(*Answer) + ".");
    }
    if (Completed != nullptr && Answer->Digest != Completed->Digest) {
      Report.add("the answer to job " + toString(Id) + " is not its outcome: " +
                 toText(*Completed) + ", " + toText(*Answer) + ".");
    }
  }
}

// The entry must take the bytes that the companion passed on.
void judgeResults(const job_id &Id, const job_history &Job, report &Report) {
  for (const auto &[Index, Events] : Job.Tasks) {
    const timeline_event *Ended = Events.find(event_kind::TaskEnded);
    const timeline_event *Taken = Events.find(event_kind::TaskResultTaken);
    if (Ended != nullptr && Taken != nullptr &&
        Ended->Digest != Taken->Digest) {
      Report.add("the result taken for " + toText(Id, Index) +
                 " is not the one of its run: " + toText(*Ended) + ", " +
                 toText(*Taken) + ".");
    }
  }
}

// \returns the event that carries the results of a job under a key, or nullptr.
// An attempt that found the key held has no end of its own: it is answered with
// the outcome that the holder has stored.
const timeline_event *findOutcome(const event_list &Events) {
  if (const auto *Completed = Events.find(event_kind::JobCompleted)) {
    return Completed;
  }
  const bool HasOwnEnd =
      Events.hasAny({event_kind::JobFailed, event_kind::JobRefused});
  return Events.has(event_kind::ClaimHeld) && !HasOwnEnd
             ? Events.find(event_kind::AnswerSent)
             : nullptr;
}

// \returns a job of the key that ran to its end, or nullptr.
const event_list *findCompleted(const history &History,
                                const std::vector<job_id> &Jobs) {
  for (const job_id &Id : Jobs) {
    const event_list &Events = History.getJobs().at(Id).Events;
    if (Events.has(event_kind::JobCompleted)) {
      return &Events;
    }
  }
  return nullptr;
}

// Jobs under one key that complete must have one request and one outcome.
void judgeKey(const history &History, const team_key &Key,
              const std::vector<job_id> &Jobs, report &Report) {
  const event_list *First = findCompleted(History, Jobs);
  if (First == nullptr) {
    return;
  }
  const timeline_event &Request = *First->find(event_kind::JobSubmitted);
  const timeline_event &Completed = *First->find(event_kind::JobCompleted);
  for (const job_id &Id : Jobs) {
    const event_list &Events = History.getJobs().at(Id).Events;
    const timeline_event *Outcome = findOutcome(Events);
    if (Outcome == nullptr) {
      continue;
    }
    const timeline_event &Other = *Events.find(event_kind::JobSubmitted);
    if (Other.Digest != Request.Digest) {
      Report.add("key '" + Key.Key + "' of team " + Key.Team +
                 " answered two different requests: " + toText(Request) + ", " +
                 toText(Other) + ".");
    }
    if (Outcome->Digest != Completed.Digest) {
      Report.add("key '" + Key.Key + "' of team " + Key.Team +
                 " has two different answers: " + toText(Completed) + ", " +
                 toText(*Outcome) + ".");
    }
  }
}

} // namespace

void answer_judge::judge(const history &History, const limits & /*Limits*/,
                         report &Report) const {
  for (const auto &[Id, Job] : History.getJobs()) {
    judgeSent(Id, Job, Report);
    judgeResults(Id, Job, Report);
  }
  for (const auto &[Key, Jobs] : groupByKey(History)) {
    judgeKey(History, Key, Jobs, Report);
  }
}

} // namespace crocuswood::checker
