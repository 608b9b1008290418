/// \file
/// Links between the processes of the fleet.
#pragma once

#include "node.h"

#include <crocuswood/model.h>

#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace crocuswood::explorer {

/// A process with links. These are called as its inputs.
class linked_node : public node {
public:
  using node::node;
  virtual void linkOpened(link_id Link) = 0;
  virtual void linkClosed(link_id Link) = 0;
  virtual void received(link_id Link, std::vector<peer_message> Messages) = 0;
};

/// Carries envelopes in order, with a latency.
class network {
public:
  explicit network(world &World) : World(World) {}

  void listen(const peer_address &Address, linked_node &Listener) {
    Listeners[Address] = &Listener;
  }
  void dial(linked_node &Dialler, link_id Link, const peer_address &Address);
  void send(linked_node &Sender, link_id Link,
            std::vector<peer_message> Messages);
  void close(linked_node &Sender, link_id Link);
  /// Tells the peers of a process that has ended.
  void closeAll(linked_node &Ended);
  /// Entries no longer name the tasks that they know of on a new link.
  void setDropsResumes(bool Value) { DropsResumes = Value; }
  std::uint64_t digestState() const;

private:
  struct side {
    linked_node *Owner = nullptr;
    link_id Link{};
    bool Open = false;
    bool Deaf = false; ///< Nothing arrives here any more.
    instant HeldUntil; ///< Nothing arrives here before.
  };
  struct connection {
    std::uint64_t Number = 0;
    std::array<side, 2> Sides; ///< The dialler comes first.
  };
  using connection_pointer = std::shared_ptr<connection>;
  using key = std::pair<const node *, link_id>;
  struct place {
    connection_pointer Connection;
    std::size_t Side = 0;
  };

  void accept(linked_node &Dialler, link_id Link, linked_node &Listener);
  /// Runs \p Work at side \p To after the latency, in order.
  void carry(const connection_pointer &Connection, std::size_t To,
             std::uint64_t Label, const std::vector<fault> &Offered,
             const std::function<void()> &Work);
  void add(instant At, const connection_pointer &Connection, std::size_t To,
           std::uint64_t Label, const std::vector<fault> &Offered,
           const std::function<void()> &Work);
  /// \returns whether the message still arrives.
  bool suffer(const connection_pointer &Connection, std::size_t To,
              const fault &Fault);
  void closeRemote(const connection_pointer &Connection, std::size_t Closer);
  void closeSide(const connection_pointer &Connection, std::size_t Side);

  world &World;
  std::map<peer_address, linked_node *> Listeners;
  std::map<key, place> Places;
  std::uint64_t LastNumber = 0;
  bool DropsResumes = false;
};

} // namespace crocuswood::explorer
