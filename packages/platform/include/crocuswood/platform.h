/// \file
/// Public header of the package platform: what the system keeps in the
/// platform's table service, and how each write with a lost answer is settled.
/// The classes talk to the table_service port and are told the time; they are
/// single-threaded.
#pragma once

#include <crocuswood/config.h>
#include <crocuswood/entry.h>
#include <crocuswood/evacuation.h>
#include <crocuswood/model.h>
#include <crocuswood/ports.h>

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuswood::platform {

/// What an entry writes about itself.
struct entry_row {
  std::string Name;
  incarnation Incarnation{};
  peer_address Links;     ///< Where companions connect.
  peer_address Operators; ///< Its operators' port.

  friend auto operator<=>(const entry_row &, const entry_row &) = default;
};

/// \returns the JSON value of the row of \p Entry.
std::string write(const entry_row &Entry);
/// \returns nothing if \p Value is not what write() writes.
std::optional<entry_row> parseEntryRow(std::string_view Name,
                                       std::string_view Value);

/// Renews the row of this entry and reads those of all entries. A row is live
/// as long as it changes at least once within the lease by the reader's own
/// clock, so that the clocks of the writers do not matter. With the store down
/// the last list stays.
class entry_registry {
public:
  using changed = std::function<void(const std::vector<entry_row> &)>;

  /// \p Self is empty for readers that are no entry.
  entry_registry(table_service &Table, std::optional<entry_row> Self,
                 duration Lease, changed Changed);

  /// Writes the row of this entry, with a new version.
  void renew();
  /// Reads all rows; calls the function given at construction when the live
  /// ones differ from the last time. Rows that were not renewed for ten leases
  /// are deleted by entries.
  void refresh(std::function<instant()> Now);
  /// Deletes the row of this entry, and then calls \p Done, whether it
  /// succeeded or not.
  void withdraw(std::function<void()> Done);
  /// \returns whether the last call to the service was answered.
  bool isStoreUp() const { return StoreUp; }

private:
  struct seen_row {
    std::string Version;
    instant ChangedAt;
  };

  void take(const std::vector<row> &Rows, instant Now);

  table_service &Table;
  std::optional<entry_row> Self;
  duration Lease;
  changed Changed;
  std::uint64_t Renewals = 0;
  std::map<std::string, seen_row> Seen;
  std::vector<entry_row> Live;
  bool StoreUp = true;
};

/// The value of a claim row.
struct claim_row {
  job_id Token;
  std::uint64_t RequestDigest = 0;
  std::optional<job_outcome> Outcome;

  friend bool operator==(const claim_row &, const claim_row &) = default;
};

std::string write(const claim_row &Claim);
std::optional<claim_row> parseClaimRow(std::string_view Value);

/// Inserts and settles claims in groups: one request to the service is under
/// way at a time, and what is asked meanwhile goes into the next one. A claim
/// row never changes its holder. An insertion without an answer is repeated
/// with the same token; a conflict is settled by reading the token back.
class claim_writer {
public:
  struct limits {
    std::size_t MaxGroup = 100; ///< Rows in one request.
    duration AskLimit =
        std::chrono::seconds(4); ///< Then the answer is Unknown.
    duration RetryInterval = std::chrono::milliseconds(200);
    /// Search for a row that may appear.
    duration ReleaseLimit = std::chrono::seconds(30);
    duration SettleLimit =
        std::chrono::minutes(5); ///< Then the outcome stays unstored.
  };
  using answered = std::function<void(entry::claim_answered)>;
  using settled = std::function<void(entry::claim_settled)>;

  claim_writer(table_service &Table, limits Limits, answered Answered,
               settled Settled);

  void ask(entry::ask_claim Claim, instant Now);
  void settle(entry::settle_claim Claim, instant Now);
  /// Sends what is due. To be called after ask() and settle(), and regularly.
  void advance(instant Now);
  /// \returns asks and settlements not at their end.
  std::size_t getPending() const {
    return Asks.size() + Settlements.size() + InFlight;
  }

private:
  struct pending_ask {
    entry::ask_claim Claim;
    instant Since;
    instant NotBefore;
    bool MayHaveWritten = false;
  };
  struct pending_settlement {
    entry::settle_claim Claim;
    instant Since;
    instant NotBefore;
  };

  struct pending_release {
    job_id Job;
    std::string Key; ///< Of the row.
    instant Since;
    instant NotBefore;
    bool Confirmed = false; ///< Whether the row was certainly inserted.
  };

  void sendGroup(std::vector<pending_ask> Group,
                 std::vector<pending_settlement> Settling);
  void takeAskOutcome(pending_ask Ask, store_status Status);
  void takeSettleOutcome(pending_settlement Settlement, store_status Status);
  void readHolder(pending_ask Ask);
  void answerAsHeld(const pending_ask &Ask, const std::string &Value);
  void retry(pending_ask Ask);
  void readForRelease(pending_release Release);
  void deleteForRelease(pending_release Release, const row &Row);
  void retryRelease(pending_release Release);
  void endRelease(const pending_release &Release, bool Released);
  bool expire(const pending_ask &Ask, instant Now);

  table_service &Table;
  limits Limits;
  answered Answered;
  settled Settled;
  std::deque<pending_ask> Asks;
  std::deque<pending_settlement> Settlements;
  std::deque<pending_release> Releases;
  std::size_t InFlight = 0;
  bool Writing = false;
  instant LastNow;
};

/// Where the configuration comes from.
class configuration_source {
public:
  /// The last step of a change: accepted, refused or not known.
  using ended = std::function<void(const config::change_step &)>;

  virtual ~configuration_source() = default;
  /// Asks for the newest configuration.
  virtual void poll() = 0;
  virtual void change(config::change Change, const ended &Ended) = 0;
};

/// Where the evacuated availability zones come from.
class evacuation_source {
public:
  using told = std::function<void(evacuation::state)>;

  virtual ~evacuation_source() = default;
  /// Asks which zones are evacuated.
  virtual void poll() = 0;
};

/// Reads the configuration and carries out operators' changes.
class configuration_store : public configuration_source {
public:
  using read = std::function<void(const configuration &)>;

  /// \p Read is called with each configuration that differs from the last one
  /// read, and with each accepted change.
  configuration_store(table_service &Table, read Read);

  void poll() override;
  void change(config::change Change, const ended &Ended) override;

private:
  void carryOut(const std::shared_ptr<config::change_runner> &Runner,
                const config::change_step &Step, const ended &Ended);
  void readHead(std::function<void(config::change_event)> Done);

  table_service &Table;
  read Read;
  std::optional<std::string> LastVersion;
};

} // namespace crocuswood::platform
