/// \file
/// Public header of the package rings: duties, each on a thread of its own or
/// together on one, joined by bounded rings.
#pragma once

#include <boost/lockfree/spsc_queue.hpp>

#include <cstddef>
#include <functional>
#include <iterator>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace boost::asio {
class io_context;
}

namespace crocuswood::rings {

/// Wakes the one consumer of some rings.
class wake_signal {
public:
  virtual ~wake_signal() = default;
  /// Makes the consumer look into its rings. Several calls before it looks
  /// count as one. Callable from any thread.
  virtual void raise() = 0;
};

/// A bounded ring from one producer to one consumer, each on any one thread.
/// Items are moved in and out; the queue's own clean-up needs them to be
/// copyable.
template <class Item> class ring {
public:
  ring(std::size_t Capacity, wake_signal &Consumer)
      : Queue(Capacity), Signal(Consumer) {}

  /// \returns false, leaving \p Value untouched, when the ring is full.
  bool tryPush(Item &&Value) {
    if (Queue.write_available() == 0) {
      return false;
    }
    // The queue moves only from a range: push(const Item &) would copy.
    Item *First = &Value;
    Queue.push(std::make_move_iterator(First),
               std::make_move_iterator(First + 1));
    Signal.raise();
    return true;
  }
  /// \returns false, leaving \p Value untouched, when the ring is empty.
  bool tryPop(Item &Value) {
    const auto Take = [&Value](Item &Front) { Value = std::move(Front); };
    return Queue.consume_one(Take);
  }

private:
  boost::lockfree::spsc_queue<Item> Queue;
  wake_signal &Signal;
};

/// Runs an io_context, and a drain function each time its signal is raised.
class duty {
public:
  /// A duty with a thread of its own. \p Name is shown by the operating system;
  /// at most 15 characters count.
  explicit duty(std::string Name);
  /// A duty on the thread and context of \p Host, which must outlive it and
  /// starts and stops it. Without a host it has a thread of its own. Handing
  /// items over within one thread takes no system call.
  duty(std::string Name, duty *Host);
  /// Stops and joins.
  ~duty();
  duty(const duty &) = delete;
  duty &operator=(const duty &) = delete;

  boost::asio::io_context &getContext();
  wake_signal &getSignal();
  /// \p Drain runs on the duty's thread after each wake-up. To be set before
  /// start().
  void setDrain(std::function<void()> Drain);
  void start();
  /// Ends the thread after the work at hand. Idempotent.
  void stop();
  /// Runs \p Work on the duty's thread, from any thread.
  void post(std::function<void()> Work);

private:
  class implementation;
  std::unique_ptr<implementation> Impl;
};

} // namespace crocuswood::rings
