/// \file
/// Bounds the memory that the peers of all servers of a process hold.
#pragma once

#include <array>
#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace crocuswood::http {

/// What a buffer holds.
enum class buffer_kind : std::uint8_t {
  Input,    ///< Heads, and bytes that have not been parsed.
  Body,     ///< Bodies that have not arrived wholly.
  Request,  ///< Whole requests that wait for their answers.
  Answer,   ///< Answers that the peer has not read.
  Document, ///< Documents while they are parsed, as estimated.
};
constexpr std::size_t BufferKinds = 5;
const char *toString(buffer_kind Kind);

/// Bytes of one connection by buffer_kind.
using buffer_sizes = std::array<std::uint64_t, BufferKinds>;

struct budget_options {
  static constexpr std::uint64_t DefaultCapacity = 64ULL * 1024 * 1024;
  std::uint64_t Capacity = DefaultCapacity;
  /// Part of the capacity that only ordinary requests may fill.
  std::uint64_t Reserve = DefaultCapacity / 8;
  /// A request that holds no more is ordinary.
  std::uint64_t OrdinaryBytes = 32ULL * 1024;
};

/// \returns the options for a budget of \p Capacity bytes.
budget_options makeBudgetOptions(std::uint64_t Capacity);
/// \returns the default capacity for a machine with \p MachineBytes of memory.
std::uint64_t defaultBudget(std::uint64_t MachineBytes);
/// \returns the bytes of `MemTotal` in the text of /proc/meminfo.
std::optional<std::uint64_t> parseMemTotal(const std::string &Text);

/// Why something was closed or refused.
enum class budget_cause : std::uint8_t {
  Dropped,   ///< An unfinished request, since the budget was full.
  Refused,   ///< A whole request, since the budget was full.
  Slow,      ///< Bodies and answers that hardly move while memory is short.
  Late,      ///< A request that did not arrive before its deadline.
  Displaced, ///< An idle connection or unfinished request, for a new
             ///< connection.
  Excess,    ///< A new connection, since too many are open.
};
constexpr std::size_t BudgetCauses = 6;
const char *toString(budget_cause Cause);

struct budget_figures {
  std::uint64_t Capacity = 0;
  buffer_sizes Held{};
  std::uint64_t Peak = 0;
  std::array<std::uint64_t, BudgetCauses> Counts{};
};

/// Adds up what the connections hold and chooses which of them give way. Keeps
/// no thread, clock or socket.
class memory_budget {
public:
  using holder_id = std::uint64_t;

  explicit memory_budget(budget_options Options) : Options(Options) {}

  /// Adds a connection of \p Peer, its address without the port.
  holder_id open(const std::string &Peer);
  void close(holder_id Holder);
  /// Replaces what \p Holder holds. \p Unfinished says whether a request is
  /// arriving on it.
  void set(holder_id Holder, const buffer_sizes &Held, bool Unfinished);
  /// \returns whose unfinished request has to give way, until nobody's has to:
  /// the newest one of the peer that holds most. Ordinary requests give way
  /// only when the reserve is full too, and then the oldest does: one that
  /// progresses is complete before its turn comes.
  std::optional<holder_id> takeVictim();
  /// \returns whether a whole request that holds \p Bytes, already set, may
  /// be handed on.
  bool admits(std::uint64_t Bytes) const;
  /// Adds what the parsed form of a document takes, until removeDocument().
  void addDocument(std::uint64_t Bytes);
  void removeDocument(std::uint64_t Bytes);
  /// Half of the budget is held: whoever stalls gives way.
  bool isShort() const { return Used > Options.Capacity / 2; }
  void count(budget_cause Cause) {
    ++Figures.Counts[static_cast<std::size_t>(Cause)];
  }
  budget_figures getFigures() const;

private:
  struct peer {
    std::uint64_t Bytes = 0;
    std::uint32_t Holders = 0;
  };
  using peer_map = std::unordered_map<std::string, peer>;
  struct holder {
    peer_map::iterator Peer;
    buffer_sizes Held{};
    std::uint64_t Bytes = 0;
    std::uint64_t Began = 0; ///< Order of unfinished requests; 0 for none.
    bool Chosen = false;     ///< The unfinished request gives way already.
  };

  bool isOrdinary(const holder &Holder) const;
  std::optional<holder_id> choose(bool Ordinary) const;

  budget_options Options;
  peer_map Peers;
  std::unordered_map<holder_id, holder> Holders;
  holder_id LastHolder = 0;
  std::uint64_t LastBegan = 0;
  std::uint64_t Used = 0;
  budget_figures Figures;
};

/// The budget of a process, used by the servers of all its threads.
class memory_account {
public:
  using holder_id = memory_budget::holder_id;
  /// Drops the unfinished request of a connection, at once on its own thread
  /// or later.
  using drop = std::function<void()>;
  /// Gets a line about what was closed and refused, at most once a second.
  using report = std::function<void(const std::string &Line)>;

  explicit memory_account(budget_options Options, report Report = nullptr);

  holder_id open(const std::string &Peer, drop Drop);
  void close(holder_id Holder);
  void set(holder_id Holder, const buffer_sizes &Held, bool Unfinished);
  /// Drops unfinished requests while the budget is full.
  void relieve();
  bool admits(std::uint64_t Bytes);
  /// Charges \p Bytes for the parsed form of a document with a text of
  /// \p TextBytes, until removeDocument(). \returns false, with nothing
  /// charged and the refusal counted, if there is no room even after unfinished
  /// requests have given way.
  bool addDocument(std::uint64_t Bytes, std::uint64_t TextBytes);
  void removeDocument(std::uint64_t Bytes);
  bool isShort() const;
  void count(budget_cause Cause);
  budget_figures getFigures() const;
  /// Reports what has been counted since the last report, if a second has
  /// passed.
  void reportSoon();

private:
  mutable std::mutex Mutex;
  memory_budget Budget;
  std::unordered_map<holder_id, std::shared_ptr<drop>> Drops;
  report Report;
  std::array<std::uint64_t, BudgetCauses> Reported{};
  std::int64_t LastReportMilliseconds = 0;
};

/// \returns an upper estimate of what the parsed form of a JSON text takes.
/// Exact counts are made of long texts only.
std::uint64_t estimateDocument(std::string_view Text);

/// Charges the parsed form of a JSON text as long as the object lives.
class document_charge {
public:
  /// \p Memory may be null: nothing is charged then.
  document_charge(memory_account *Memory, std::string_view Text);
  ~document_charge();
  document_charge(const document_charge &) = delete;
  document_charge &operator=(const document_charge &) = delete;

  /// Otherwise the text must not be parsed.
  bool isAdmitted() const { return Admitted; }

private:
  memory_account *Memory;
  std::uint64_t Bytes = 0;
  bool Admitted = true;
};

/// \returns the figures in the Prometheus text format.
std::string writeMetrics(const budget_figures &Figures);

} // namespace crocuswood::http
