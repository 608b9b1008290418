/// \file
/// The producer's side of a ring, which never loses an item.
#pragma once

#include <crocuswood/rings.h>

#include <cstddef>
#include <deque>
#include <utility>

namespace crocuswood::daemon {

/// Pushes into a ring, and keeps what does not fit until flush(). Owned by the
/// producer.
template <class Item> class outbox {
public:
  explicit outbox(rings::ring<Item> &Ring) : Ring(Ring) {}

  void push(Item Value) {
    Waiting.push_back(std::move(Value));
    flush();
  }

  /// \returns whether nothing waits any more.
  bool flush() {
    while (!Waiting.empty() && Ring.tryPush(std::move(Waiting.front()))) {
      Waiting.pop_front();
    }
    return Waiting.empty();
  }

  bool isBlocked() const { return !Waiting.empty(); }

private:
  rings::ring<Item> &Ring;
  std::deque<Item> Waiting;
};

} // namespace crocuswood::daemon
