#include "health.h"

#include <algorithm>

namespace crocuswood::entry {

namespace {

// A bad companion is set aside within this number of tasks, over all entries.
constexpr std::uint32_t MaxExposure = 9;
// Failures in a row, and completions elsewhere, that a verdict needs.
constexpr std::uint32_t EnoughFailures = 3;
constexpr std::uint32_t EnoughCompletions = 3;
// Completions elsewhere for each failure elsewhere.
constexpr std::uint32_t CompletionsPerFailure = 4;
constexpr std::uint32_t ProbesToRestore = 2;
constexpr duration FirstProbeDelay = std::chrono::seconds(5);
constexpr duration MaxProbeDelay = std::chrono::seconds(60);
// A suspicion that nobody else's outcomes settle is dropped after this.
constexpr duration SuspicionLimit = std::chrono::seconds(5);

} // namespace

// Records.

health::member &health::memberAt(companion_index Companion) {
  if (Companion >= Members.size()) {
    Members.resize(Companion + 1);
  }
  return Members[Companion];
}

health::standing &health::standingAt(companion_index Companion,
                                     class_index Class) {
  auto &Classes = memberAt(Companion).Classes;
  if (Class >= Classes.size()) {
    Classes.resize(Class + 1);
  }
  return Classes[Class];
}

health::history &health::historyOf(class_index Class) {
  if (Class >= Histories.size()) {
    Histories.resize(Class + 1);
  }
  return Histories[Class];
}

void health::addOutcome(class_index Class, const outcome &Outcome) {
  history &History = historyOf(Class);
  History.Outcomes[History.Next] = Outcome;
  History.Next = (History.Next + 1) % history::Size;
}

std::uint32_t health::exposureLimit() const {
  return std::max(1U, MaxExposure / State.Companions.countEntries());
}

void health::applyLimits(companion_index Companion) {
  member &Member = memberAt(Companion);
  companion_record &Record = State.Companions[Companion];
  std::vector<class_index> Barred;
  for (class_index Class = 0; Class < Member.Classes.size(); ++Class) {
    const trust Trust = Member.Classes[Class].Trust;
    if (Trust != trust::Full && Trust != trust::Probing) {
      Barred.push_back(Class);
    }
  }
  Record.Allowed.reset();
  if (Member.Trusted > 0) {
    Record.Allowed = Member.Trusted;
  }
  if (Member.Failures > 0) {
    const std::uint32_t Limit = exposureLimit();
    const std::uint32_t Left = Limit - std::min(Limit, Member.Failures);
    Record.Allowed = std::min(Record.Allowed.value_or(Left), Left);
  }
  if (Member.AllSetAside) {
    Record.Allowed = 1;
  }
  Record.SetAside = Member.AllSetAside;
  if (Barred != Record.Barred) {
    Record.Barred = std::move(Barred);
    State.Companions.refreshClasses(Companion, State.now());
    return;
  }
  State.Companions.refreshRoom(Companion, State.now());
}

void health::welcome(companion_index Companion) {
  memberAt(Companion) = member{.Trusted = exposureLimit()};
  forgetSuspects(Companion);
  applyLimits(Companion);
}

void health::forgetSuspects(companion_index Companion) {
  std::erase_if(Suspects, [Companion](const suspect &Each) {
    return Each.Companion == Companion;
  });
}

// Outcomes.

void health::notePlaced(companion_index Companion, class_index Class) {
  standing &Standing = standingAt(Companion, Class);
  if (Standing.Trust == trust::Probing) {
    Standing.Trust = trust::Probed;
    ++State.Messages.Wasted;
    applyLimits(Companion);
  }
}

void health::noteReturned(companion_index Companion, class_index Class) {
  standing &Standing = standingAt(Companion, Class);
  if (Standing.Trust == trust::Probed) {
    Standing.Trust = trust::Probing;
    applyLimits(Companion);
  }
}

void health::noteCompleted(companion_index Companion, class_index Class,
                           instant PlacedAt) {
  member &Member = memberAt(Companion);
  standing &Standing = standingAt(Companion, Class);
  Member.CompletedPlacement = std::max(Member.CompletedPlacement, PlacedAt);
  const bool WasLimited = Member.Failures > 0 || Member.Trusted > 0;
  // What was placed before the failures began tells nothing of the time since.
  const bool EndsFailures = PlacedAt >= Member.FailingSince;
  Member.Failures = EndsFailures ? 0 : Member.Failures;
  if (Member.Trusted > 0) {
    Member.Trusted *= 2;
    const bool IsTrusted =
        Member.Trusted >= State.Companions[Companion].Endpoint.Slots;
    Member.Trusted = IsTrusted ? 0 : Member.Trusted;
  }
  addOutcome(Class, {.Companion = Companion,
                     .Completed = true,
                     .PlacedAt = PlacedAt,
                     .EndedAt = State.now()});
  historyOf(Class).FailsEverywhere = false;
  if (Standing.Trust == trust::Probed &&
      ++Standing.ProbesCompleted >= ProbesToRestore) {
    restore(Companion, Class);
  } else if (Standing.Trust == trust::Probed) {
    Standing.Trust = trust::Probing;
    applyLimits(Companion);
  } else if (Standing.Failures > 0 && PlacedAt >= Standing.FailingSince) {
    forgive({.Companion = Companion, .Class = Class});
  } else if (WasLimited) {
    applyLimits(Companion);
  }
  if (!Suspects.empty()) {
    judgeSuspects(Class);
  }
}

void health::noteFailed(companion_index Companion, class_index Class,
                        instant PlacedAt) {
  addOutcome(Class, {.Companion = Companion,
                     .Completed = false,
                     .PlacedAt = PlacedAt,
                     .EndedAt = State.now()});
  if (endsProbe(Companion, Class)) {
    return;
  }
  standing &Standing = standingAt(Companion, Class);
  const suspect Suspect{.Companion = Companion, .Class = Class};
  const bool IsAlone = State.Companions.countRunners(Class) < 2;
  if (historyOf(Class).FailsEverywhere || IsAlone ||
      Standing.Trust == trust::SetAside) {
    return;
  }
  if (Standing.Failures == 0) {
    Standing.FailingSince = State.now();
    Suspects.push_back(Suspect);
  }
  ++Standing.Failures;
  member &Member = memberAt(Companion);
  if (Member.Failures == 0) {
    Member.FailingSince = State.now();
  }
  ++Member.Failures;
  if (Standing.Failures >= std::min(EnoughFailures, exposureLimit())) {
    Standing.Trust = trust::Suspended;
  }
  applyLimits(Companion);
  judgeSuspects(Class);
}

bool health::endsProbe(companion_index Companion, class_index Class) {
  standing &Standing = standingAt(Companion, Class);
  if (Standing.Trust != trust::Probed) {
    return false;
  }
  Standing.ProbeDelay = std::min(Standing.ProbeDelay * 2, MaxProbeDelay);
  setAsideClass(memberAt(Companion), Standing);
  applyLimits(Companion);
  return true;
}

void health::noteUnreachable(companion_index Companion, class_index Class) {
  if (endsProbe(Companion, Class)) {
    return;
  }
  const suspect Suspect{.Companion = Companion, .Class = Class};
  if (!memberAt(Companion).AllSetAside) {
    memberAt(Companion).CompletedPlacement = instant{};
    standingAt(Companion, Class).FailingSince = State.now();
    setAside(Suspect);
  }
}

// Verdicts.

health::comparison health::compare(const suspect &Suspect) {
  const instant Since =
      standingAt(Suspect.Companion, Suspect.Class).FailingSince;
  comparison Result;
  std::vector<companion_index> Failing;
  for (const outcome &Each : historyOf(Suspect.Class).Outcomes) {
    if (Each.Companion == NoCompanion || Each.EndedAt < Since ||
        Each.Companion == Suspect.Companion) {
      continue;
    }
    if (Each.Completed) {
      // What was placed earlier tells nothing of the time since.
      Result.Completed += Each.PlacedAt >= Since ? 1 : 0;
      continue;
    }
    ++Result.Failed;
    if (std::find(Failing.begin(), Failing.end(), Each.Companion) ==
        Failing.end()) {
      Failing.push_back(Each.Companion);
    }
  }
  Result.FailingCompanions = static_cast<std::uint32_t>(Failing.size());
  return Result;
}

void health::judge(const suspect &Suspect) {
  const comparison Others = compare(Suspect);
  const std::uint32_t Runners = State.Companions.countRunners(Suspect.Class);
  const standing &Standing = standingAt(Suspect.Companion, Suspect.Class);
  const bool MostOthersFail = Others.FailingCompanions * 2 >= Runners - 1;
  if (MostOthersFail && Others.Completed < Others.Failed) {
    historyOf(Suspect.Class).FailsEverywhere = true;
    return;
  }
  const bool OthersComplete =
      Others.Completed >= EnoughCompletions &&
      Others.Completed >= CompletionsPerFailure * Others.Failed;
  if (Standing.Trust == trust::Suspended && OthersComplete) {
    setAside(Suspect);
  }
}

void health::judgeSuspects(class_index Class) {
  const std::vector<suspect> Copy = Suspects;
  for (const suspect &Suspect : Copy) {
    if (Suspect.Class == Class) {
      judge(Suspect);
    }
  }
  if (!historyOf(Class).FailsEverywhere) {
    return;
  }
  for (const suspect &Suspect : Copy) {
    if (Suspect.Class == Class) {
      forgive(Suspect);
    }
  }
}

void health::forgive(const suspect &Suspect) {
  standing &Standing = standingAt(Suspect.Companion, Suspect.Class);
  std::erase(Suspects, Suspect);
  if (Standing.Trust == trust::Suspended || Standing.Trust == trust::Full) {
    member &Member = memberAt(Suspect.Companion);
    Member.Failures -= std::min(Member.Failures, Standing.Failures);
    Standing = standing();
  }
  applyLimits(Suspect.Companion);
}

void health::setAsideClass(member &Member, standing &Standing) {
  Standing.Trust = trust::SetAside;
  Standing.ProbesCompleted = 0;
  if (Standing.ProbeDelay.count() == 0) {
    Standing.ProbeDelay = FirstProbeDelay;
  }
  Standing.NextProbe = State.now() + Standing.ProbeDelay;
  Member.NextProbe = std::min(Member.NextProbe.value_or(Standing.NextProbe),
                              Standing.NextProbe);
}

void health::setAside(const suspect &Suspect) {
  member &Member = memberAt(Suspect.Companion);
  const instant Since =
      standingAt(Suspect.Companion, Suspect.Class).FailingSince;
  std::erase(Suspects, Suspect);
  setAsideClass(Member, standingAt(Suspect.Companion, Suspect.Class));
  const bool CompletesOthers = Member.CompletedPlacement >= Since;
  const std::string Name =
      CompletesOthers ? State.Classes[Suspect.Class].Spec.Name : "";
  if (!CompletesOthers) {
    Member.AllSetAside = true;
    forgetSuspects(Suspect.Companion);
    for (class_index Class = 0; Class < State.Classes.getCount(); ++Class) {
      setAsideClass(Member, standingAt(Suspect.Companion, Class));
    }
  }
  State.Sink.record({.Kind = event_kind::EndpointSetAside,
                     .Class = Name,
                     .Peer = State.companionName(Suspect.Companion),
                     .Reason = "It fails what other endpoints complete."});
  Member.Failures = 0;
  applyLimits(Suspect.Companion);
}

void health::restore(companion_index Companion, class_index Class) {
  member &Member = memberAt(Companion);
  const bool WholeCompanion = Member.AllSetAside;
  if (WholeCompanion) {
    Member = member{.Trusted = exposureLimit()};
  } else {
    standingAt(Companion, Class) = standing();
  }
  State.Sink.record(
      {.Kind = event_kind::EndpointRestored,
       .Class = WholeCompanion ? "" : State.Classes[Class].Spec.Name,
       .Peer = State.companionName(Companion)});
  applyLimits(Companion);
}

bool health::releaseProbes(member &Member) {
  Member.NextProbe.reset();
  bool Changed = false;
  for (standing &Standing : Member.Classes) {
    ++State.ClassVisits;
    if (Standing.Trust != trust::SetAside) {
      continue;
    }
    if (State.now() >= Standing.NextProbe) {
      Standing.Trust = trust::Probing;
      Changed = true;
      continue;
    }
    Member.NextProbe = std::min(Member.NextProbe.value_or(Standing.NextProbe),
                                Standing.NextProbe);
  }
  return Changed;
}

void health::checkTimes() {
  for (const auto &[Name, Index] : State.Companions.getNames()) {
    member &Member = memberAt(Index);
    if (Member.NextProbe && State.now() >= *Member.NextProbe &&
        releaseProbes(Member)) {
      applyLimits(Index);
    }
  }
  const std::vector<suspect> Copy = Suspects;
  for (const suspect &Suspect : Copy) {
    const standing &Standing = standingAt(Suspect.Companion, Suspect.Class);
    if (State.now() - Standing.FailingSince > SuspicionLimit) {
      forgive(Suspect);
    }
  }
}

} // namespace crocuswood::entry
