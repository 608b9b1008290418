#include "load/load_generator.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace crocuswood::stand_ins {

namespace {

using nlohmann::json;

constexpr unsigned StatusOk = 200;
constexpr std::chrono::milliseconds DefaultRetryWait{50};
constexpr std::chrono::milliseconds LongestRetryWait{5'000};

double milliseconds(std::chrono::steady_clock::duration Span) {
  return std::chrono::duration<double, std::milli>(Span).count();
}

/// Whether \p Body is the whole answer to \p Job.
bool matches(const generated_job &Job, const json &Body) {
  if (!Body.is_object() || !Body.contains("results") ||
      !Body["results"].is_array() ||
      Body["results"].size() != Job.Digests.size()) {
    return false;
  }
  for (std::size_t Index = 0; Index < Job.Digests.size(); ++Index) {
    const json &Result = Body["results"][Index];
    if (!Result.is_object() ||
        Result.value("digest", json()) != json(Job.Digests[Index])) {
      return false;
    }
  }
  return true;
}

std::string textOf(const json &Object, const char *Key) {
  if (!Object.is_object() || !Object.contains(Key) ||
      !Object[Key].is_string()) {
    return "";
  }
  return Object[Key].get<std::string>();
}

std::chrono::milliseconds retryWait(const json &Body) {
  if (!Body.contains("retry_after_ms") ||
      !Body["retry_after_ms"].is_number_unsigned()) {
    return DefaultRetryWait;
  }
  const std::chrono::milliseconds Wait(
      Body["retry_after_ms"].get<std::uint32_t>());
  return std::min(Wait, LongestRetryWait);
}

} // namespace

load_generator::load_generator(boost::asio::io_context &Context,
                               load_options Chosen,
                               std::function<void()> Finished)
    : Context(Context), Options(std::move(Chosen)),
      Mix(Options.Kinds, Options.Seed),
      Client(Context, Options.Connections, Options.TimeLimit), Timer(Context),
      Finished(std::move(Finished)) {}

void load_generator::start() {
  Began = clock::now();
  Next = Began;
  if (Options.Rate > 0) {
    scheduleNext();
    return;
  }
  const std::size_t Parallel = Options.Connections * Options.Entries.size();
  for (std::size_t Index = 0; Index < Parallel && mayStart(); ++Index) {
    startJob(clock::now());
  }
  finishIfDone();
}

void load_generator::stop() {
  Stopped = true;
  Timer.cancel();
  finishIfDone();
}

load_summary load_generator::getSummary() const {
  load_summary Result = Summary;
  Result.ElapsedSeconds = milliseconds(clock::now() - Began) / 1e3;
  return Result;
}

bool load_generator::mayStart() const {
  if (Stopped || (Options.Count > 0 && Summary.Sent >= Options.Count)) {
    return false;
  }
  return Options.Seconds <= 0 ||
         milliseconds(clock::now() - Began) < Options.Seconds * 1e3;
}

void load_generator::startJob(clock::time_point Planned) {
  ++Summary.Sent;
  ++Outstanding;
  auto Attempt = std::make_shared<attempt>();
  Attempt->Job = Mix.next();
  Attempt->Planned = Planned;
  Attempt->Entry = ++LastEntry % Options.Entries.size();
  send(Attempt);
}

void load_generator::scheduleNext() {
  Timer.expires_at(Next);
  Timer.async_wait([this](const boost::system::error_code &Cancelled) {
    if (!Cancelled) {
      sendDue();
    }
  });
}

void load_generator::sendDue() {
  while (Next <= clock::now()) {
    if (!mayStart()) {
      stop();
      return;
    }
    startJob(Next);
    const std::chrono::duration<double> Gap(Mix.nextGapSeconds(Options.Rate));
    Next += std::chrono::duration_cast<clock::duration>(Gap);
  }
  scheduleNext();
}

void load_generator::send(const attempt_ptr &Attempt) {
  Client.send(Options.Entries[Attempt->Entry],
              {.Method = "POST", .Path = "/v1/jobs", .Body = Attempt->Job.Body},
              [this, Attempt](const http::plain_reply &Reply) {
                answered(Attempt, Reply);
              });
}

void load_generator::answered(const attempt_ptr &Attempt,
                              const http::plain_reply &Reply) {
  switch (Reply.Kind) {
  case http::plain_reply::kind::Answered:
    judge(Attempt, Reply.Response);
    return;
  case http::plain_reply::kind::NotWritten:
    ++Summary.Errors["unreached"];
    if (!resubmit(Attempt, DefaultRetryWait)) {
      ++Summary.Unreached;
      ended();
    }
    return;
  case http::plain_reply::kind::Lost:
    ++Summary.Errors["lost: " + Reply.Reason];
    ++Summary.Unanswered;
    ended();
    return;
  }
}

void load_generator::judge(const attempt_ptr &Attempt,
                           const http::plain_response &Response) {
  const json Body = json::parse(Response.Body, nullptr, false);
  if (Response.Status == StatusOk) {
    if (matches(Attempt->Job, Body)) {
      complete(Attempt);
    } else {
      ++Summary.Mismatched;
    }
    ended();
    return;
  }
  const std::string Code = textOf(Body, "error");
  ++Summary.Errors[Code.empty() ? std::to_string(Response.Status) : Code];
  const bool NotRun = textOf(Body, "certainty") == "not_run";
  if (NotRun && resubmit(Attempt, retryWait(Body))) {
    return;
  }
  if (NotRun) {
    ++Summary.Refused;
  } else {
    ++Summary.Failed;
  }
  ended();
}

void load_generator::complete(const attempt_ptr &Attempt) {
  const double Latency = milliseconds(clock::now() - Attempt->Planned);
  ++Summary.Completed;
  Summary.TasksCompleted += Attempt->Job.Digests.size();
  Summary.Latencies.push_back(Latency);
  Summary.Added.push_back(Latency - Attempt->Job.RunMilliseconds);
}

bool load_generator::resubmit(const attempt_ptr &Attempt,
                              std::chrono::milliseconds Wait) {
  if (Stopped || Attempt->Resubmissions >= Options.MaxResubmissions) {
    return false;
  }
  ++Attempt->Resubmissions;
  ++Summary.Resubmitted;
  Attempt->Entry = (Attempt->Entry + 1) % Options.Entries.size();
  auto RetryTimer = std::make_shared<boost::asio::steady_timer>(Context, Wait);
  RetryTimer->async_wait(
      [this, RetryTimer, Attempt](const boost::system::error_code &) {
        send(Attempt);
      });
  return true;
}

void load_generator::ended() {
  --Outstanding;
  if (Options.Rate <= 0 && mayStart()) {
    startJob(clock::now());
    return;
  }
  finishIfDone();
}

void load_generator::finishIfDone() {
  const bool Sending = Options.Rate > 0 ? !Stopped : mayStart();
  if (Outstanding == 0 && !Sending && Finished) {
    std::exchange(Finished, nullptr)();
  }
}

} // namespace crocuswood::stand_ins
