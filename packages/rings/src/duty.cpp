#include "posted_signal.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <pthread.h>
#include <thread>
#include <utility>

namespace crocuswood::rings {

namespace {

// What pthread_setname_np() accepts, without the terminating zero.
constexpr std::size_t MaxThreadNameLength = 15;

} // namespace

class duty::implementation {
public:
  implementation(std::string ThreadName, implementation *Host)
      : Name(std::move(ThreadName)),
        Own(Host == nullptr ? std::make_unique<boost::asio::io_context>(1)
                            : nullptr),
        Context(Host == nullptr ? *Own : Host->Context),
        Signal(Context, Host == nullptr ? Local : Host->Local,
               [this] { wake(); }) {
    Name.resize(std::min(Name.size(), MaxThreadNameLength));
  }

  ~implementation() { stop(); }

  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  boost::asio::io_context &getContext() { return Context; }
  wake_signal &getSignal() { return Signal; }
  void setDrain(std::function<void()> Function) { Drain = std::move(Function); }

  void start() {
    if (!Own || Thread.joinable()) {
      return;
    }
    Own->restart();
    Thread = std::thread([this] { run(); });
  }

  void stop() {
    if (!Own) {
      return;
    }
    Own->stop();
    if (Thread.joinable() && Thread.get_id() != std::this_thread::get_id()) {
      Thread.join();
    }
  }

  void post(std::function<void()> Work) {
    boost::asio::post(Context, std::move(Work));
  }

private:
  void run() {
    pthread_setname_np(pthread_self(), Name.c_str());
    const auto Guard = boost::asio::make_work_guard(Context);
    while (Context.run_one() > 0) {
      Local.run();
    }
  }

  void wake() {
    if (Drain) {
      Drain();
    }
  }

  std::string Name;
  std::unique_ptr<boost::asio::io_context> Own; ///< Empty with a host.
  boost::asio::io_context &Context;
  raised_signals Local; ///< Unused with a host.
  posted_signal Signal;
  std::function<void()> Drain;
  std::thread Thread;
};

duty::duty(std::string Name) : duty(std::move(Name), nullptr) {}

duty::duty(std::string Name, duty *Host)
    : Impl(std::make_unique<implementation>(
          std::move(Name), Host == nullptr ? nullptr : Host->Impl.get())) {}

duty::~duty() = default;

boost::asio::io_context &duty::getContext() { return Impl->getContext(); }

wake_signal &duty::getSignal() { return Impl->getSignal(); }

void duty::setDrain(std::function<void()> Drain) {
  Impl->setDrain(std::move(Drain));
}

void duty::start() { Impl->start(); }

void duty::stop() { Impl->stop(); }

void duty::post(std::function<void()> Work) { Impl->post(std::move(Work)); }

} // namespace crocuswood::rings
