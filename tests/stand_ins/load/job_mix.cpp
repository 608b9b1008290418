#include "load/job_mix.h"

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <cstdlib>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace crocuswood::stand_ins {

namespace {

using nlohmann::json;

constexpr int ExitUsage = 2;

[[noreturn]] void exitWith(const std::string &Message) {
  std::cerr << Message << '\n';
  std::exit(ExitUsage);
}

double numberOrExit(const std::string &Text) {
  char *End = nullptr;
  const double Number = std::strtod(Text.c_str(), &End);
  if (Text.empty() || *End != '\0' || Number < 0) {
    exitWith("not a number: " + Text);
  }
  return Number;
}

void setPart(job_kind &Kind, const std::string &Name,
             const std::string &Value) {
  if (Name == "team") {
    Kind.Team = Value;
  } else if (Name == "weight") {
    Kind.Weight = numberOrExit(Value);
  } else if (Name == "tasks") {
    Kind.Tasks = static_cast<std::uint32_t>(numberOrExit(Value));
  } else if (Name == "run_ms") {
    Kind.RunMilliseconds = numberOrExit(Value);
  } else if (Name == "deadline") {
    Kind.Deadline = Value;
  } else if (Name == "fail") {
    Kind.FailShare = numberOrExit(Value);
  } else if (Name == "output_bytes") {
    Kind.OutputBytes = static_cast<std::uint32_t>(numberOrExit(Value));
  } else if (Name == "keys") {
    Kind.Keys = true;
  } else if (Name == "declare") {
    Kind.Declare = true;
  } else {
    exitWith("unknown part of a job kind: " + Name);
  }
}

std::vector<double> weights(const std::vector<job_kind> &Kinds) {
  std::vector<double> Weights;
  Weights.reserve(Kinds.size());
  for (const job_kind &Kind : Kinds) {
    Weights.push_back(Kind.Weight);
  }
  return Weights;
}

/// Tells the jobs of several load programs apart.
std::string runName(std::uint64_t Seed) {
  static const std::string Process = std::to_string(::getpid());
  return std::to_string(Seed) + "-" + Process;
}

} // namespace

job_kind jobKindOrExit(const std::string &Text) {
  job_kind Kind;
  std::istringstream Input(Text);
  std::getline(Input, Kind.Class, ',');
  for (std::string Part; std::getline(Input, Part, ',');) {
    const std::size_t Equals = Part.find('=');
    const std::string Value =
        Equals == std::string::npos ? "" : Part.substr(Equals + 1);
    setPart(Kind, Part.substr(0, Equals), Value);
  }
  if (Kind.Class.empty() || Kind.Team.empty() || Kind.Tasks == 0) {
    exitWith("a job kind needs a class, a team and at least one task");
  }
  return Kind;
}

job_mix::job_mix(std::vector<job_kind> AllKinds, std::uint64_t Seed)
    : Kinds(std::move(AllKinds)), Seed(Seed), Random(Seed) {
  const std::vector<double> Weights = weights(Kinds);
  Choice =
      std::discrete_distribution<std::size_t>(Weights.begin(), Weights.end());
}

generated_job job_mix::next() {
  const job_kind &Kind = Kinds[Choice(Random)];
  const std::string Name = runName(Seed) + "-" + std::to_string(++Count);
  generated_job Job{.RunMilliseconds = Kind.RunMilliseconds};
  Job.MayFail = std::bernoulli_distribution(Kind.FailShare)(Random);
  json Common = {{"sleep_ms", Kind.RunMilliseconds}};
  if (Kind.OutputBytes > 0) {
    Common["output_bytes"] = Kind.OutputBytes;
  }
  Job.Body = R"({"class":)" + json(Kind.Class).dump() + R"(,"team":)" +
             json(Kind.Team).dump();
  if (!Kind.Deadline.empty()) {
    Job.Body += R"(,"deadline":)" + json(Kind.Deadline).dump();
  }
  if (Kind.Keys) {
    Job.Body += R"(,"idempotency_key":")" + Name + '"';
  }
  Job.Body += R"(,"tasks":[)";
  for (std::uint32_t Index = 0; Index < Kind.Tasks; ++Index) {
    Common["nonce"] = Name + "." + std::to_string(Index);
    if (Job.MayFail && Index == 0) {
      Common["fail"] = true;
    } else {
      Common.erase("fail");
    }
    const std::string Input = Common.dump();
    Job.Digests.push_back(crocuswood::toString(incarnation{digest(Input)}));
    Job.Body += Index == 0 ? "" : ",";
    Job.Body += R"({"input":)" + Input;
    if (Kind.Declare && Kind.RunMilliseconds > 0) {
      Job.Body += R"(,"run_time":")" +
                  std::to_string(
                      static_cast<std::int64_t>(Kind.RunMilliseconds * 1e3)) +
                  R"(us")";
    }
    Job.Body += '}';
  }
  Job.Body += "]}";
  return Job;
}

double job_mix::nextGapSeconds(double Rate) {
  return std::exponential_distribution<double>(Rate)(Random);
}

} // namespace crocuswood::stand_ins
