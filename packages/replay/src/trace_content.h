/// \file
/// What a trace says, after parsing.
#pragma once

#include <crocuswood/config.h>
#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::replay {

/// An entry of the fleet.
struct entry_description {
  std::string Name;
  std::string Zone;
  bool Started = true; ///< Otherwise an input starts it.
};

/// A companion and the endpoint beside it.
struct companion_description {
  std::string Name;
  std::string Endpoint; ///< Name of the endpoint.
  std::string Zone;
  endpoint_report Offer;
  bool Started = true;
};

/// One-way latencies and the time of a call to the store.
struct latencies {
  duration WithinZone = std::chrono::microseconds(250);
  duration BetweenZones = std::chrono::milliseconds(1);
  duration Client = std::chrono::milliseconds(3);
  duration Store = std::chrono::milliseconds(5);
};

struct trace_header {
  std::string Name;
  std::uint64_t Seed = 1;
  std::vector<entry_description> Entries;
  std::vector<companion_description> Companions;
  latencies Latencies;
  std::map<std::string, duration> Settings; ///< By name, in snake case.
  duration ClockSkew{};            ///< Wall clocks differ by up to this much.
  std::uint32_t Resubmissions = 0; ///< After a lost connection, by each client.
  configuration Configuration;
  bool StoreHolds = true; ///< The store has the configuration at the start.
};

/// One request of a client.
struct arrival {
  instant At;
  std::string Class;
  std::string Team;
  std::string Key;
  std::string Entry;              ///< Empty: the balancer chooses.
  std::vector<duration> RunTimes; ///< True ones, one for each task.
  double DeclaredFactor = 0; ///< Declared over true run time; 0: not declared.
  std::optional<duration> Deadline;
  std::optional<duration> CancelAfter;
};

// Timed inputs besides arrivals.

/// Ends a process at once. A quiet end tells its peers nothing, as when its VM
/// is lost.
struct kill_process {
  std::string What;
  bool Quiet = false;
};
/// Starts a process, with a new incarnation.
struct start_process {
  std::string What;
};
struct freeze_process {
  std::string What;
};
struct thaw_process {
  std::string What;
};
/// Planned stop of an entry or a companion.
struct stop_process {
  std::string What;
};
/// The endpoint announces that it leaves.
struct leave_endpoint {
  std::string What;
};
enum class link_mode : std::uint8_t {
  Cut,       ///< Closes the open links; both sides notice.
  Silence,   ///< Open links carry nothing any more; new ones work.
  Partition, ///< Neither open nor new links carry anything.
  Delay,     ///< Everything takes longer by the span.
  Heal,      ///< Ends Partition and Delay.
};
/// A fault between two processes; an empty name stands for every process.
struct link_fault {
  link_mode Mode = link_mode::Cut;
  std::string First;
  std::string Second;
  duration Span{};
};
enum class store_mode : std::uint8_t { Ok, Down, Slow, LoseAnswers };
struct store_fault {
  store_mode Mode = store_mode::Ok;
  duration Span{}; ///< Of each call when slow.
};
enum class endpoint_mode : std::uint8_t {
  Ok,
  Fails,   ///< Fails every task at once.
  Slow,    ///< Takes longer by the factor.
  Refuses, ///< Refuses connections.
  Resets,  ///< Loses the connection after the call was written.
};
struct endpoint_fault {
  std::string What;
  endpoint_mode Mode = endpoint_mode::Ok;
  double Factor = 1;
  std::string Class; ///< Only tasks of this class; empty: all.
};
/// An operator changes the configuration through one entry.
struct configure {
  std::string Entry;
  config::change Change;
};
/// Clients cancel some of their outstanding requests.
struct cancel_wave {
  double Share = 1;
};

using fault =
    std::variant<kill_process, start_process, freeze_process, thaw_process,
                 stop_process, leave_endpoint, link_fault, store_fault,
                 endpoint_fault, configure, cancel_wave>;

struct timed_fault {
  instant At;
  fault Fault;
  std::uint32_t Line = 0; ///< In the trace.
};

/// A stated outcome.
struct expectation {
  std::string Metric;
  std::string Class; ///< Empty: all.
  std::optional<double> AtLeast;
  std::optional<double> AtMost;
  std::string Is; ///< Text, instead of a number.
};

struct trace_content {
  trace_header Header;
  std::vector<arrival> Arrivals; ///< By time.
  std::vector<timed_fault> Faults;
  std::vector<expectation> Expectations;
};

} // namespace crocuswood::replay
