/// \file
/// Stands in for the links between processes.
#pragma once

#include "process.h"
#include "trace_content.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace crocuswood::replay {

/// Carries envelopes between processes, in order, with latencies and faults.
class network {
public:
  network(world &World, const latencies &Latencies)
      : World(World), Latencies(Latencies) {}

  /// \p Target is dialled at \p Address.
  void listen(const peer_address &Address, process &Target);
  /// Dials to \p Address go to the process that \p Choose returns, or fail.
  void balance(const peer_address &Address, std::function<process *()> Choose);

  void dial(process &Dialer, link_id Link, const peer_address &Address);
  void send(process &Sender, link_id Link, std::vector<peer_message> Messages);
  void close(process &Sender, link_id Link);
  /// Tells the peers of \p Dead, unless its end is quiet.
  void processEnded(process &Dead, bool Quiet);
  void apply(const link_fault &Fault);
  /// \returns the one-way latency between two zones.
  duration getLatency(const std::string &From, const std::string &To) const;

private:
  struct side {
    process *Owner = nullptr;
    std::uint64_t Life = 0;
    link_id Link{};
    bool Open = false;
    instant LastArrival; ///< Of what was sent to this side.
  };
  struct connection {
    side Sides[2]; ///< The dialler comes first.
    bool Silent = false;
  };
  using connection_pointer = std::shared_ptr<connection>;
  using side_key = std::pair<const process *, link_id>;

  void accept(const connection_pointer &Connection, process *Target,
              const peer_address &Address);
  /// Runs \p Work on the other end from \p From after the latency, in order.
  void carry(const connection_pointer &Connection, int From,
             std::function<void(side &)> Work);
  void breakOff(const connection_pointer &Connection, int Noticing,
                const std::string &Reason);
  void forget(const connection_pointer &Connection, int Side);
  bool isBlocked(const process &First, const process &Second) const;
  duration getDelay(const process &First, const process &Second) const;

  world &World;
  latencies Latencies;
  std::map<peer_address, std::function<process *()>> Listeners;
  std::map<side_key, std::pair<connection_pointer, int>> Connections;
  std::map<std::uint64_t, std::weak_ptr<connection>> All;
  std::uint64_t NextNumber = 0;
  std::uint64_t NextAccepted = 1ULL << 32; ///< Apart from the diallers' ids.
  std::vector<link_fault> Lasting;         ///< Partitions and delays.
};

} // namespace crocuswood::replay
