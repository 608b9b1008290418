/// \file
/// A leased endpoint of the fleet.
#pragma once

#include "fake_runner.h"
#include "node.h"

#include <crocuswood/ports.h>

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace crocuswood::explorer {

/// Watches endpoints.
class start_watch {
public:
  virtual ~start_watch() = default;
  /// \p Run has begun on \p Endpoint.
  virtual void noteStart(std::size_t Endpoint, const run_id &Run) = 0;
  /// \p Endpoint crashes while \p Active run on it.
  virtual void noteCrash(std::size_t Endpoint,
                         const std::set<run_id> &Active) = 0;
};

/// Processor of each endpoint: one task of the callers fills most of it.
constexpr std::uint32_t EndpointMilliCores = 4'000;

/// How an endpoint answers a call, after the latency.
using order_answer = std::function<void(const order_outcome &)>;
using list_answer = std::function<void(const list_outcome &)>;

/// Carries out orders, announces itself, and comes back after a crash under its
/// old id.
class endpoint_node : public node {
public:
  endpoint_node(world &World, std::size_t Index, start_watch &Watch);

  /// Called with each heartbeat.
  std::function<void(const std::string &Life)> Announce;

  /// These are inputs that arrive now. Without \p Answer the caller has given
  /// up.
  void order(std::uint64_t Label, const start_order &Order, instant SentAt,
             const order_answer &Answer);
  void orderStop(std::uint64_t Label, const run_id &Run,
                 const order_answer &Answer);
  void orderList(std::uint64_t Label, const list_request &Request,
                 instant SentAt, const list_answer &Answer);

  /// \returns whether the companion was sent word that \p Run has begun.
  bool hasTold(const run_id &Run) const { return Told.contains(Run); }
  const std::set<run_id> &getActive();
  std::string getLifeName() const { return Runner.getLife(); }
  void setRunTime(const std::string &Job, duration RunTime) {
    RunTimes[Job] = RunTime;
  }
  /// Stops are answered without being carried out.
  void setIgnoresStops(bool Value) { IgnoresStops = Value; }
  void setIgnoresFences(bool Value) { IgnoresFences = Value; }

protected:
  void begin() override;
  void end() override;

private:
  struct parked_list {
    list_request Request;
    list_answer Answer;
    instant Until;
  };

  void beat();
  /// \returns what is left of a lease that was sent at \p SentAt.
  duration getRest(const std::string &Life, duration Lease,
                   instant SentAt) const;
  order_outcome begin(const start_order &Order, instant SentAt);
  /// Answers listings that have something to tell, and asks for the next wake.
  void settle();

  start_watch &Watch;
  std::size_t Index;
  runs_test::fake_runner Runner;
  std::map<std::string, duration> RunTimes; ///< By job.
  std::vector<parked_list> Parked;
  std::set<run_id> Told;
  std::optional<instant> Wake;
  bool IgnoresStops = false;
  bool IgnoresFences = false;
};

} // namespace crocuswood::explorer
