#include "outcomes.h"

#include "figures.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <functional>
#include <map>

namespace crocuswood::replay {

namespace {

const job_failure *findFailure(const submission &Submission) {
  if (!Submission.Answer) {
    return nullptr;
  }
  return std::get_if<job_failure>(&Submission.Answer->Outcome);
}

bool isCompleted(const submission &Submission) {
  return Submission.Answer &&
         std::holds_alternative<job_results>(Submission.Answer->Outcome);
}

bool isNotRun(const submission &Submission) {
  const job_failure *Failure = findFailure(Submission);
  return Failure != nullptr && Failure->Certainty == run_certainty::NotRun;
}

using predicate = std::function<bool(const submission &)>;

std::map<std::string, predicate> makeCounters() {
  return {
      {"submitted", [](const submission &) { return true; }},
      {"completed", isCompleted},
      {"failed",
       [](const submission &Each) { return findFailure(Each) != nullptr; }},
      {"not_run", isNotRun},
      {"may_have_run",
       [](const submission &Each) {
         return findFailure(Each) != nullptr && !isNotRun(Each);
       }},
      {"lost", [](const submission &Each) { return Each.Lost; }},
      {"unanswered", [](const submission &Each) { return !Each.Ended; }},
      {"wrong_answers", [](const submission &Each) { return Each.Wrong; }},
  };
}

std::string write(double Number) {
  std::array<char, 64> Text{};
  const auto End = std::to_chars(Text.data(), Text.data() + Text.size(), Number,
                                 std::chars_format::general, 6);
  return std::string(Text.data(), End.ptr);
}

class outcome_judge {
public:
  explicit outcome_judge(const evidence &Evidence) : Evidence(Evidence) {}

  outcome_result judge(const expectation &Expectation) const {
    outcome_result Result{.Name = Expectation.Metric};
    if (!Expectation.Class.empty()) {
      Result.Name += " of " + Expectation.Class;
    }
    if (Expectation.Metric == "checker") {
      Result.Expected = Expectation.Is;
      Result.Seen = describeVerdict();
      Result.Passed = Result.Seen == Result.Expected;
      return Result;
    }
    Result.Expected = describeRange(Expectation);
    const auto Seen = measure(Expectation);
    if (!Seen) {
      Result.Seen = "no such metric";
      return Result;
    }
    Result.Seen = write(*Seen);
    Result.Passed = (!Expectation.AtLeast || *Seen >= *Expectation.AtLeast) &&
                    (!Expectation.AtMost || *Seen <= *Expectation.AtMost);
    return Result;
  }

private:
  static std::string describeRange(const expectation &Expectation) {
    if (Expectation.AtLeast && Expectation.AtMost) {
      return *Expectation.AtLeast == *Expectation.AtMost
                 ? write(*Expectation.AtLeast)
                 : write(*Expectation.AtLeast) + " to " +
                       write(*Expectation.AtMost);
    }
    if (Expectation.AtLeast) {
      return "at least " + write(*Expectation.AtLeast);
    }
    return "at most " + write(Expectation.AtMost.value_or(0));
  }

  std::string describeVerdict() const {
    const auto &Violations = Evidence.Verdict.Violations;
    if (Violations.empty()) {
      return "clean";
    }
    const checker::violation &First = Violations.front();
    return std::to_string(Violations.size()) + " violations; " +
           checker::toString(First.Rule) + ": " + First.Message;
  }

  std::optional<double> measure(const expectation &Expectation) const {
    const std::string &Metric = Expectation.Metric;
    const auto Counters = makeCounters();
    const auto Counter = Counters.find(Metric);
    if (Counter != Counters.end()) {
      return count(Expectation.Class, Counter->second);
    }
    if (const auto Value = measurePrefixed(Expectation)) {
      return Value;
    }
    const std::map<std::string, double> Values = {
        {"wasted_per_task", Evidence.WastedPerTask},
        {"goodput", Evidence.Goodput},
        {"least_revision", static_cast<double>(Evidence.LeastRevision)},
        {"unstopped", static_cast<double>(Evidence.Unstopped)},
    };
    const auto Value = Values.find(Metric);
    if (Value != Values.end()) {
      return Value->second;
    }
    return measureTimes(Expectation);
  }

  // `code:CODE` counts failures, `events:KIND` events of the time line.
  std::optional<double> measurePrefixed(const expectation &Expectation) const {
    const std::string &Metric = Expectation.Metric;
    const std::size_t Colon = Metric.find(':');
    if (Colon == std::string::npos) {
      return std::nullopt;
    }
    const std::string Name = Metric.substr(Colon + 1);
    if (Metric.starts_with("code:")) {
      const auto Code = parseFailureCode(Name);
      return count(Expectation.Class, [Code](const submission &Each) {
        const job_failure *Failure = findFailure(Each);
        return Failure != nullptr && Failure->Code == Code;
      });
    }
    const auto Kind = parseEventKind(Name);
    if (!Metric.starts_with("events:") || !Kind) {
      return std::nullopt;
    }
    return static_cast<double>(std::ranges::count_if(
        Evidence.Timeline, [&](const timeline_event &Event) {
          return Event.Kind == *Kind && (Expectation.Class.empty() ||
                                         Event.Class == Expectation.Class);
        }));
  }

  double count(const std::string &Class, const predicate &Counts) const {
    return static_cast<double>(std::ranges::count_if(
        Evidence.Submissions, [&](const submission &Each) {
          return (Class.empty() || Each.Arrival->Class == Class) &&
                 Counts(Each);
        }));
  }

  // Response times in milliseconds, stretch, and shares of missed targets.
  std::optional<double> measureTimes(const expectation &Expectation) const {
    std::vector<double> Responses;
    figure_table Figures(Evidence.Trace.Header.Configuration);
    double Missed = 0;
    for (const submission &Each : Evidence.Submissions) {
      if (!Expectation.Class.empty() &&
          Each.Arrival->Class != Expectation.Class) {
        continue;
      }
      if (!isCompleted(Each)) {
        continue;
      }
      const duration Response = Each.EndedAt - Each.Arrival->At;
      constexpr double MicrosecondsPerMillisecond = 1e3;
      Responses.push_back(static_cast<double>(Response.count()) /
                          MicrosecondsPerMillisecond);
      Figures.addCompleted(Each.Arrival->Class, Response,
                           *std::ranges::max_element(Each.Arrival->RunTimes));
    }
    for (const auto &[Class, Each] : Figures.makeClasses()) {
      Missed += static_cast<double>(Each.Missed);
    }
    const auto Answers = static_cast<double>(Responses.size());
    const std::map<std::string, std::function<double()>> Metrics = {
        {"response_p50_ms", [&]() { return findQuantile(Responses, 0.5); }},
        {"response_p99_ms", [&]() { return findQuantile(Responses, 0.99); }},
        {"response_max_ms", [&]() { return findQuantile(Responses, 1); }},
        {"stretch_p50", [&]() { return Figures.findStretch(0.5); }},
        {"stretch_p99", [&]() { return Figures.findStretch(0.99); }},
        {"missed_share", [&]() { return Answers > 0 ? Missed / Answers : 0; }},
    };
    const auto Metric = Metrics.find(Expectation.Metric);
    if (Metric == Metrics.end()) {
      return std::nullopt;
    }
    return Metric->second();
  }

  const evidence &Evidence;
};

std::vector<expectation> makeGeneralExpectations() {
  return {{.Metric = "checker", .Is = "clean"},
          {.Metric = "unanswered", .AtLeast = 0, .AtMost = 0},
          {.Metric = "wrong_answers", .AtLeast = 0, .AtMost = 0},
          {.Metric = "unstopped", .AtLeast = 0, .AtMost = 0}};
}

} // namespace

std::vector<outcome_result> judgeOutcomes(const evidence &Evidence) {
  const outcome_judge Judge(Evidence);
  const auto &Stated = Evidence.Trace.Expectations;
  std::vector<outcome_result> Results;
  Results.reserve(Stated.size());
  for (const expectation &Expectation : Stated) {
    Results.push_back(Judge.judge(Expectation));
  }
  for (const expectation &Expectation : makeGeneralExpectations()) {
    const bool IsStated =
        std::ranges::any_of(Stated, [&Expectation](const expectation &Each) {
          return Each.Metric == Expectation.Metric && Each.Class.empty();
        });
    if (!IsStated) {
      Results.push_back(Judge.judge(Expectation));
    }
  }
  return Results;
}

} // namespace crocuswood::replay
