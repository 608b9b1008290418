#include <crocuswood/config_check.h>

#include <algorithm>
#include <utility>

namespace crocuswood::config_check {

namespace {

std::string pathOf(const class_spec &Class, const char *Key) {
  return "classes." + Class.Name + "." + Key;
}

remark warn(const char *Code, std::string Path, std::string Message,
            std::string Effect) {
  return {.Severity = severity::Warning,
          .Code = Code,
          .What = {.Path = std::move(Path), .Message = std::move(Message)},
          .Effect = std::move(Effect)};
}

void checkTarget(const class_spec &Class, remarks &Found) {
  if (Class.RunTimeFactor < 0) {
    Found.push_back(
        warn("negative-factor", pathOf(Class, "run_time_factor"),
             "The target shrinks as run times grow.",
             "Long tasks of " + Class.Name + " are late from the start."));
  } else if (Class.AnswerWithin <= duration::zero() &&
             Class.RunTimeFactor < 1) {
    Found.push_back(warn("impossible-target", pathOf(Class, "answer_within"),
                         "The target is shorter than the run time of a task.",
                         "No job of " + Class.Name + " can be on time."));
  }
  if (Class.UsefulTargets > 0 && Class.UsefulTargets < 1) {
    Found.push_back(
        warn("useful-before-target", pathOf(Class, "useful_targets"),
             "Answers are of no use before the target has passed.",
             "Jobs of " + Class.Name +
                 " that would be on time may be given up as useless."));
  }
}

void checkLimits(const class_spec &Class, remarks &Found) {
  if (!Class.Idempotent && Class.MaxAttempts > 1) {
    Found.push_back(
        warn("unused-attempts", pathOf(Class, "max_attempts"),
             "Jobs of a class that is not idempotent run at most once.",
             "A failed task of " + Class.Name +
                 " is not repeated, in spite of max_attempts."));
  }
  if (Class.MaxAttempts == 0) {
    Found.push_back(warn("no-attempts", pathOf(Class, "max_attempts"),
                         "0 attempts act as 1.",
                         "The first failed run fails the job."));
  }
  if (Class.RefuseAtMost >= 1) {
    Found.push_back(warn("refuse-all", pathOf(Class, "refuse_at_most"),
                         "All jobs may be refused.",
                         "Under load " + Class.Name +
                             " is the first to be refused, wholly."));
  }
}

// The longest prefix decides, and of equal ones the first class by name.
void checkRoutes(const configuration &Value, remarks &Found) {
  std::map<std::pair<std::string, std::string>, std::string> Owners;
  for (const auto &[Name, Class] : Value.Classes) {
    if (Class.PathPrefix.empty()) {
      continue;
    }
    const auto [Owner, IsFirst] =
        Owners.try_emplace({Class.Host, Class.PathPrefix}, Name);
    if (!IsFirst) {
      Found.push_back(warn(
          "shadowed-route", pathOf(Class, "path_prefix"),
          "Class " + Owner->second + " has the same host and prefix.",
          "No request reaches " + Name + "; all go to " + Owner->second + "."));
    }
  }
}

} // namespace

remarks check(const configuration &Value) {
  remarks Found;
  for (const auto &Entry : Value.Classes) {
    checkTarget(Entry.second, Found);
    checkLimits(Entry.second, Found);
  }
  checkRoutes(Value, Found);
  return Found;
}

remarks checkOffers(const configuration &Value,
                    const std::vector<endpoint_offer> &Offers) {
  remarks Found;
  for (const auto &[Name, Class] : Value.Classes) {
    const std::string &Pool = poolOf(Class);
    const auto Announces = [&Pool](const endpoint_offer &Offer) {
      return std::find(Offer.Pools.begin(), Offer.Pools.end(), Pool) !=
             Offer.Pools.end();
    };
    const auto Fits = [&, &Spec = Class](const endpoint_offer &Offer) {
      return Announces(Offer) && Spec.MemoryBytes <= Offer.MemoryBytes &&
             Spec.Accelerators <= Offer.Accelerators;
    };
    if (std::any_of(Offers.begin(), Offers.end(), Fits)) {
      continue;
    }
    const bool IsKnown = std::any_of(Offers.begin(), Offers.end(), Announces);
    Found.push_back(
        warn("no-endpoint",
             pathOf(Class, IsKnown ? (Class.Accelerators > 0 ? "accelerators"
                                                             : "memory_bytes")
                                   : "name"),
             IsKnown ? "No endpoint has what a task needs."
                     : "No endpoint announces " + Pool + ".",
             "Jobs of " + Name + " can't run while this lasts."));
  }
  return Found;
}

remarks toRemarks(const findings &Faults) {
  remarks Result;
  Result.reserve(Faults.size());
  for (const finding &Fault : Faults) {
    Result.push_back(
        {.Severity = severity::Error, .Code = "invalid", .What = Fault});
  }
  return Result;
}

severity findWorst(const remarks &Remarks) {
  severity Worst = severity::Note;
  for (const remark &Remark : Remarks) {
    Worst = std::max(Worst, Remark.Severity);
  }
  return Worst;
}

} // namespace crocuswood::config_check
