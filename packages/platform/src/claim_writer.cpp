#include <crocuswood/platform.h>

#include <algorithm>
#include <utility>

namespace crocuswood::platform {

namespace {

// Keys are chosen by callers; a digest would do, but the key itself can be read
// by operators.
std::string rowKey(const std::string &Team, const std::string &Key) {
  return "claims/" + Team + "/" + Key;
}

row_write makeInsertion(const entry::ask_claim &Claim) {
  return {.Key = rowKey(Claim.Team, Claim.Key),
          .Value = write(claim_row{.Token = Claim.Job,
                                   .RequestDigest = Claim.RequestDigest}),
          .Condition = {.Kind = write_condition::kind::IfAbsent}};
}

// Only the holder of a claim writes its row again, so no condition is needed,
// and a repeated write does no harm.
row_write makeSettlement(const entry::settle_claim &Claim) {
  return {.Key = rowKey(Claim.Team, Claim.Key),
          .Value = write(claim_row{.Token = Claim.Job,
                                   .RequestDigest = Claim.RequestDigest,
                                   .Outcome = Claim.Outcome})};
}

bool hasNotRun(const job_outcome &Outcome) {
  const auto *Failure = std::get_if<job_failure>(&Outcome);
  return Failure != nullptr && Failure->Certainty == run_certainty::NotRun;
}

// Takes up to \p Max items that are due out of \p Queue, keeping the order of
// the others.
template <class Item>
std::vector<Item> takeDue(std::deque<Item> &Queue, std::size_t Max,
                          instant Now) {
  std::vector<Item> Due;
  std::deque<Item> Rest;
  for (Item &Candidate : Queue) {
    if (Due.size() < Max && Candidate.NotBefore <= Now) {
      Due.push_back(std::move(Candidate));
    } else {
      Rest.push_back(std::move(Candidate));
    }
  }
  Queue = std::move(Rest);
  return Due;
}

} // namespace

claim_writer::claim_writer(table_service &Table, limits Limits,
                           answered Answered, settled Settled)
    : Table(Table), Limits(Limits), Answered(std::move(Answered)),
      Settled(std::move(Settled)) {}

void claim_writer::ask(entry::ask_claim Claim, instant Now) {
  LastNow = Now;
  Asks.push_back({.Claim = std::move(Claim), .Since = Now, .NotBefore = Now});
}

void claim_writer::settle(entry::settle_claim Claim, instant Now) {
  LastNow = Now;
  if (hasNotRun(Claim.Outcome)) {
    Releases.push_back({.Job = Claim.Job,
                        .Key = rowKey(Claim.Team, Claim.Key),
                        .Since = Now,
                        .NotBefore = Now,
                        .Confirmed = true});
    return;
  }
  Settlements.push_back(
      {.Claim = std::move(Claim), .Since = Now, .NotBefore = Now});
}

void claim_writer::advance(instant Now) {
  LastNow = Now;
  for (pending_release &Release : takeDue(Releases, Limits.MaxGroup, Now)) {
    readForRelease(std::move(Release));
  }
  if (Writing) {
    return;
  }
  // Asks go first: callers wait for them.
  std::vector<pending_ask> Group = takeDue(Asks, Limits.MaxGroup, Now);
  std::erase_if(Group,
                [&](const pending_ask &Ask) { return expire(Ask, Now); });
  const std::size_t Room = Limits.MaxGroup - Group.size();
  std::vector<pending_settlement> Settling = takeDue(Settlements, Room, Now);
  if (!Group.empty() || !Settling.empty()) {
    sendGroup(std::move(Group), std::move(Settling));
  }
}

bool claim_writer::expire(const pending_ask &Ask, instant Now) {
  if (Now - Ask.Since < Limits.AskLimit) {
    return false;
  }
  if (!Ask.MayHaveWritten) {
    Answered({.Job = Ask.Claim.Job, .Status = entry::claim_status::Refused});
    return true;
  }
  // The job will not run, but its row may exist, or appear later.
  Releases.push_back({.Job = Ask.Claim.Job,
                      .Key = rowKey(Ask.Claim.Team, Ask.Claim.Key),
                      .Since = Now,
                      .NotBefore = Now});
  Answered({.Job = Ask.Claim.Job, .Status = entry::claim_status::Unknown});
  return true;
}

void claim_writer::sendGroup(std::vector<pending_ask> Group,
                             std::vector<pending_settlement> Settling) {
  std::vector<row_write> Writes;
  Writes.reserve(Group.size() + Settling.size());
  for (const pending_ask &Ask : Group) {
    Writes.push_back(makeInsertion(Ask.Claim));
  }
  for (const pending_settlement &Settlement : Settling) {
    Writes.push_back(makeSettlement(Settlement.Claim));
  }
  Writing = true;
  InFlight += Writes.size();
  Table.write(std::move(Writes),
              [this, Group = std::move(Group), Settling = std::move(Settling)](
                  const std::vector<write_outcome> &Outcomes) {
                Writing = false;
                InFlight -= Group.size() + Settling.size();
                std::size_t Index = 0;
                // A short list of outcomes tells nothing about the writes at
                // its end.
                const auto NextStatus = [&] {
                  const std::size_t Place = Index++;
                  return Place < Outcomes.size() ? Outcomes[Place].Status
                                                 : store_status::Unknown;
                };
                for (const pending_ask &Ask : Group) {
                  takeAskOutcome(Ask, NextStatus());
                }
                for (const pending_settlement &Settlement : Settling) {
                  takeSettleOutcome(Settlement, NextStatus());
                }
                advance(LastNow);
              });
}

void claim_writer::takeAskOutcome(pending_ask Ask, store_status Status) {
  switch (Status) {
  case store_status::Done:
    Answered({.Job = Ask.Claim.Job, .Status = entry::claim_status::Confirmed});
    return;
  case store_status::Conflict:
    readHolder(std::move(Ask));
    return;
  case store_status::Refused:
    if (!Ask.MayHaveWritten) {
      Answered({.Job = Ask.Claim.Job, .Status = entry::claim_status::Refused});
      return;
    }
    retry(std::move(Ask));
    return;
  case store_status::Unknown:
    Ask.MayHaveWritten = true;
    retry(std::move(Ask));
    return;
  }
}

void claim_writer::takeSettleOutcome(pending_settlement Settlement,
                                     store_status Status) {
  const bool Stored = Status == store_status::Done;
  if (Stored || LastNow - Settlement.Since >= Limits.SettleLimit) {
    Settled({.Job = Settlement.Claim.Job, .Stored = Stored});
    return;
  }
  Settlement.NotBefore = LastNow + Limits.RetryInterval;
  Settlements.push_back(std::move(Settlement));
}

void claim_writer::retry(pending_ask Ask) {
  Ask.NotBefore = LastNow + Limits.RetryInterval;
  Asks.push_back(std::move(Ask));
}

void claim_writer::readHolder(pending_ask Ask) {
  ++InFlight;
  const std::string Key = rowKey(Ask.Claim.Team, Ask.Claim.Key);
  Table.read(Key, [this, Ask = std::move(Ask)](const read_outcome &Outcome) {
    --InFlight;
    if (Outcome.Status != store_status::Done || !Outcome.Row) {
      // The insertion is repeated; it conflicts again, or finds the row gone.
      retry(Ask);
      return;
    }
    answerAsHeld(Ask, Outcome.Row->Value);
  });
}

void claim_writer::answerAsHeld(const pending_ask &Ask,
                                const std::string &Value) {
  const std::optional<claim_row> Holder = parseClaimRow(Value);
  if (!Holder) {
    // A row that can't be read is held by somebody; the job must not run.
    Answered({.Job = Ask.Claim.Job,
              .Status = entry::claim_status::Held,
              .HolderDigest = Ask.Claim.RequestDigest});
    return;
  }
  if (Holder->Token == Ask.Claim.Job) {
    Answered({.Job = Ask.Claim.Job, .Status = entry::claim_status::Confirmed});
    return;
  }
  Answered({.Job = Ask.Claim.Job,
            .Status = entry::claim_status::Held,
            .HolderDigest = Holder->RequestDigest,
            .HolderOutcome = Holder->Outcome});
}

void claim_writer::readForRelease(pending_release Release) {
  ++InFlight;
  const std::string Key = Release.Key;
  Table.read(Key, [this,
                   Release = std::move(Release)](const read_outcome &Outcome) {
    --InFlight;
    if (Outcome.Status != store_status::Done) {
      retryRelease(Release);
      return;
    }
    if (!Outcome.Row) {
      // An insertion without an answer may still take effect.
      if (Release.Confirmed) {
        endRelease(Release, true);
      } else {
        retryRelease(Release);
      }
      return;
    }
    const std::optional<claim_row> Holder = parseClaimRow(Outcome.Row->Value);
    if (!Holder || Holder->Token != Release.Job) {
      endRelease(Release, true);
      return;
    }
    deleteForRelease(Release, *Outcome.Row);
  });
}

void claim_writer::deleteForRelease(pending_release Release, const row &Row) {
  row_write Deletion{.Key = Release.Key,
                     .Condition = {.Kind = write_condition::kind::IfVersion,
                                   .Version = Row.Version}};
  ++InFlight;
  Table.write({std::move(Deletion)},
              [this, Release = std::move(Release)](
                  const std::vector<write_outcome> &Outcomes) {
                --InFlight;
                if (!Outcomes.empty() &&
                    Outcomes.front().Status == store_status::Done) {
                  endRelease(Release, true);
                  return;
                }
                retryRelease(Release);
              });
}

void claim_writer::retryRelease(pending_release Release) {
  // A row that was never confirmed is looked for until any insertion under way
  // has ended.
  const duration Limit =
      Release.Confirmed ? Limits.SettleLimit : Limits.ReleaseLimit;
  if (LastNow - Release.Since >= Limit) {
    endRelease(Release, false);
    return;
  }
  Release.NotBefore = LastNow + Limits.RetryInterval;
  Releases.push_back(std::move(Release));
}

void claim_writer::endRelease(const pending_release &Release, bool Released) {
  if (Release.Confirmed) {
    Settled({.Job = Release.Job, .Stored = Released});
  }
}

} // namespace crocuswood::platform
