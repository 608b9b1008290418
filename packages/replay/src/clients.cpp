#include "clients.h"

#include "fake_endpoint.h"

#include <algorithm>
#include <utility>

namespace crocuswood::replay {

namespace {

constexpr duration HealthInterval = std::chrono::milliseconds(500);
constexpr duration ResubmitPause = std::chrono::milliseconds(100);

} // namespace

clients::clients(world &World, const trace_header &Header,
                 std::vector<entry_process *> Entries)
    : World(World), Header(Header), Entries(std::move(Entries)) {}

void clients::checkHealth() {
  Healthy.clear();
  for (entry_process *Entry : Entries) {
    if (Entry->isReady() && !Entry->isFrozen()) {
      Healthy.push_back(Entry);
    }
  }
  World.Loop.after(HealthInterval, [this]() { checkHealth(); });
}

entry_process *clients::choose(const std::string &Name) {
  if (Name.empty()) {
    return Healthy.empty() ? nullptr
                           : Healthy[World.Random.below(Healthy.size())];
  }
  const auto Place = std::ranges::find_if(
      Entries, [&Name](const auto *Entry) { return Entry->getName() == Name; });
  return Place == Entries.end() ? nullptr : *Place;
}

job_request clients::makeJob(const arrival &Arrival, std::size_t Number) {
  job_request Job{.Class = Arrival.Class,
                  .Team = Arrival.Team,
                  .Deadline = Arrival.Deadline,
                  .IdempotencyKey = Arrival.Key};
  // Requests under one key are the same request.
  const std::string Label =
      Arrival.Key.empty() ? std::to_string(Number) : Arrival.Key;
  for (std::size_t Index = 0; Index < Arrival.RunTimes.size(); ++Index) {
    const duration RunTime = Arrival.RunTimes[Index];
    task_request Task{
        .Input = makeInput(RunTime, Label + "." + std::to_string(Index))};
    if (Arrival.DeclaredFactor > 0) {
      Task.DeclaredRunTime = duration(static_cast<std::int64_t>(
          static_cast<double>(RunTime.count()) * Arrival.DeclaredFactor));
    }
    Job.Tasks.push_back(std::move(Task));
  }
  return Job;
}

void clients::submit(const arrival &Arrival) {
  Submissions.push_back({.Arrival = &Arrival});
  ++Waiting;
  const std::size_t Number = Submissions.size() - 1;
  tryOnce(Number);
  if (Arrival.CancelAfter) {
    World.Loop.after(*Arrival.CancelAfter,
                     [this, Number]() { cancelOne(Number); });
  }
}

void clients::tryOnce(std::size_t Number) {
  submission &Submission = Submissions[Number];
  if (Submission.Ended) {
    return;
  }
  ++Submission.Attempts;
  entry_process *Entry = choose(Submission.Arrival->Entry);
  const request_id Request{NextRequest++};
  Open[Request] = {.Submission = Number, .Entry = Entry};
  World.Loop.after(Header.Latencies.Client, [this, Entry, Request, Number]() {
    if (Entry == nullptr || !Entry->isAlive()) {
      lose(Request);
      return;
    }
    Entry->deliver([this, Entry, Request, Number]() {
      Entry->submit(Request, makeJob(*Submissions[Number].Arrival, Number),
                    [this, Request](const job_answer &Answer) {
                      World.Loop.after(
                          Header.Latencies.Client,
                          [this, Request, Answer]() { take(Request, Answer); });
                    });
    });
  });
}

void clients::take(request_id Request, const job_answer &Answer) {
  const auto Attempt = Open.extract(Request);
  if (Attempt.empty()) {
    return;
  }
  const std::size_t Number = Attempt.mapped().Submission;
  submission &Submission = Submissions[Number];
  Submission.Answer = Answer;
  if (const auto *Results = std::get_if<job_results>(&Answer.Outcome)) {
    const job_request Job = makeJob(*Submission.Arrival, Number);
    Submission.Wrong = Results->Outputs.size() != Job.Tasks.size();
    for (std::size_t Index = 0; !Submission.Wrong && Index < Job.Tasks.size();
         ++Index) {
      Submission.Wrong =
          Results->Outputs[Index] != makeOutput(Job.Tasks[Index].Input);
    }
  }
  end(Submission);
}

void clients::lose(request_id Request) {
  const auto Attempt = Open.extract(Request);
  if (Attempt.empty()) {
    return;
  }
  const std::size_t Number = Attempt.mapped().Submission;
  submission &Submission = Submissions[Number];
  if (Submission.Attempts <= Header.Resubmissions && !Submission.Cancelled) {
    World.Loop.after(ResubmitPause, [this, Number]() { tryOnce(Number); });
    return;
  }
  Submission.Lost = true;
  end(Submission);
}

void clients::end(submission &Submission) {
  Submission.Ended = true;
  Submission.EndedAt = World.Loop.getNow();
  --Waiting;
}

void clients::entryEnded(const entry_process &Entry) {
  std::vector<request_id> Broken;
  for (const auto &[Request, Attempt] : Open) {
    if (Attempt.Entry == &Entry) {
      Broken.push_back(Request);
    }
  }
  for (const request_id Request : Broken) {
    World.Loop.after(Header.Latencies.Client,
                     [this, Request]() { lose(Request); });
  }
}

void clients::cancel(double Share) {
  for (std::size_t Number = 0; Number < Submissions.size(); ++Number) {
    if (!Submissions[Number].Ended && World.Random.unit() < Share) {
      cancelOne(Number);
    }
  }
}

void clients::cancelOne(std::size_t Number) {
  for (const auto &[Request, Attempt] : Open) {
    if (Attempt.Submission != Number || Attempt.Entry == nullptr) {
      continue;
    }
    Submissions[Number].Cancelled = true;
    World.Loop.after(
        Header.Latencies.Client, [Entry = Attempt.Entry, Request = Request]() {
          Entry->deliver([Entry, Request]() { Entry->cancel(Request); });
        });
    return;
  }
}

} // namespace crocuswood::replay
