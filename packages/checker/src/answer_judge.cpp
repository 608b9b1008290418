#include "answer_judge.h"

#include "key_groups.h"

#include <algorithm>

namespace crocuswood::checker {

namespace {

void judgeSent(const job_id &Id, const job_history &Job, report &Report) {
  const auto Sent = Job.Events.getAll({event_kind::AnswerSent});
  const timeline_event *Completed = Job.Events.find(event_kind::JobCompleted);
  const bool Ended =
      Job.Events.hasAny({event_kind::JobCompleted, event_kind::JobFailed,
                         event_kind::JobRefused});
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

// Jobs under one key that complete must have one request and one outcome.
void judgeKey(const history &History, const team_key &Key,
              const std::vector<job_id> &Jobs, report &Report) {
  const timeline_event *First = nullptr;
  const timeline_event *FirstRequest = nullptr;
  for (const job_id &Id : Jobs) {
    const event_list &Events = History.getJobs().at(Id).Events;
    const timeline_event *Completed = Events.find(event_kind::JobCompleted);
    if (Completed == nullptr) {
      continue;
    }
    const timeline_event *Request = Events.find(event_kind::JobSubmitted);
    if (First == nullptr) {
      First = Completed;
      FirstRequest = Request;
      continue;
    }
    if (Request->Digest != FirstRequest->Digest) {
      Report.add("key '" + Key.Key + "' of team " + Key.Team +
                 " answered two different requests: " + toText(*FirstRequest) +
                 ", " + toText(*Request) + ".");
    }
    if (Completed->Digest != First->Digest) {
      Report.add("key '" + Key.Key + "' of team " + Key.Team +
                 " has two different answers: " + toText(*First) + ", " +
                 toText(*Completed) + ".");
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
