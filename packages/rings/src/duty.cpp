#include <crocuswood/rings.h>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>

#include <algorithm>
#include <optional>
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
  explicit implementation(std::string ThreadName)
      : Name(std::move(ThreadName)), Context(1) {
    Name.resize(std::min(Name.size(), MaxThreadNameLength));
  }

  ~implementation() {
    stop();
    // The signal owns the descriptor and closes it.
    if (Wakeups) {
      Wakeups->release();
    }
  }

  implementation(const implementation &) = delete;
  implementation &operator=(const implementation &) = delete;

  boost::asio::io_context &getContext() { return Context; }
  wake_signal &getSignal() { return Signal; }
  void setDrain(std::function<void()> Function) { Drain = std::move(Function); }

  void start() {
    if (Thread.joinable()) {
      return;
    }
    Context.restart();
    if (!Wakeups) {
      Wakeups.emplace(Context, Signal.getDescriptor());
      waitForSignal();
    }
    Thread = std::thread([this] { run(); });
  }

  void stop() {
    Context.stop();
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
    Context.run();
  }

  void waitForSignal() {
    Wakeups->async_wait(boost::asio::posix::stream_descriptor::wait_read,
                        [this](const boost::system::error_code &Error) {
                          if (Error) {
                            return;
                          }
                          Signal.lower();
                          if (Drain) {
                            Drain();
                          }
                          waitForSignal();
                        });
  }

  std::string Name;
  wake_signal Signal;
  boost::asio::io_context Context;
  std::optional<boost::asio::posix::stream_descriptor> Wakeups;
  std::function<void()> Drain;
  std::thread Thread;
};

duty::duty(std::string Name)
    : Impl(std::make_unique<implementation>(std::move(Name))) {}

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
