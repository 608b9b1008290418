#include "counting_signal.h"

#include <crocuswood/rings.h>

#include <boost/asio/io_context.hpp>

#include <CppUTest/TestHarness.h>

using namespace crocuswood::rings;
using crocuswood::rings_test::counting_signal;

TEST_GROUP(Rings){};

TEST(Rings, ItemsKeepTheirOrder) {
  counting_signal Signal;
  ring<int> Ring(8, Signal);
  for (int Value = 0; Value < 5; ++Value) {
    CHECK_TRUE(Ring.tryPush(int{Value}));
  }
  for (int Expected = 0; Expected < 5; ++Expected) {
    int Value = -1;
    CHECK_TRUE(Ring.tryPop(Value));
    CHECK_EQUAL(Expected, Value);
  }
  int Value = -1;
  CHECK_FALSE(Ring.tryPop(Value));
}

TEST(Rings, FullRingRefusesAndLeavesTheItem) {
  counting_signal Signal;
  ring<std::shared_ptr<int>> Ring(1, Signal);
  CHECK_TRUE(Ring.tryPush(std::make_shared<int>(1)));
  auto Refused = std::make_shared<int>(2);
  CHECK_FALSE(Ring.tryPush(std::move(Refused)));
  CHECK_EQUAL(1, Refused.use_count());
}

TEST(Rings, ItemsAreMovedInAndOut) {
  counting_signal Signal;
  ring<std::shared_ptr<int>> Ring(4, Signal);
  auto Item = std::make_shared<int>(1);
  const std::weak_ptr<int> Watch = Item;
  CHECK_TRUE(Ring.tryPush(std::move(Item)));
  CHECK_EQUAL(1, Watch.use_count());
  std::shared_ptr<int> Taken;
  CHECK_TRUE(Ring.tryPop(Taken));
  CHECK_EQUAL(1, Taken.use_count());
  Taken.reset();
  CHECK_TRUE(Watch.expired());
}

TEST(Rings, EveryPushRaisesTheSignal) {
  counting_signal Signal;
  ring<int> Ring(2, Signal);
  CHECK_TRUE(Ring.tryPush(1));
  CHECK_TRUE(Ring.tryPush(2));
  CHECK_FALSE(Ring.tryPush(3));
  CHECK_EQUAL(2, Signal.Raises);
}

TEST_GROUP(Duties){};

TEST(Duties, PostedWorkRunsOnTheDutysThread) {
  duty Duty("posted");
  Duty.start();
  std::promise<std::thread::id> Ran;
  Duty.post([&Ran] { Ran.set_value(std::this_thread::get_id()); });
  CHECK_TRUE(Ran.get_future().get() != std::this_thread::get_id());
}

TEST(Duties, RaiseBeforeStartIsDrained) {
  duty Duty("early");
  std::promise<void> Drained;
  Duty.setDrain([&Drained] { Drained.set_value(); });
  Duty.getSignal().raise();
  Duty.start();
  Drained.get_future().wait();
}

TEST(Duties, RaisesBeforeTheDrainCountAsOne) {
  duty Duty("counted");
  int Drains = 0;
  Duty.setDrain([&Drains] { ++Drains; });
  Duty.getSignal().raise();
  Duty.getSignal().raise();
  Duty.getContext().run();
  CHECK_EQUAL(1, Drains);
  Duty.getSignal().raise();
  Duty.getContext().restart();
  Duty.getContext().run();
  CHECK_EQUAL(2, Drains);
}

TEST(Duties, RaiseWithinTheDrainDrainsAgain) {
  duty Duty("again");
  int Drains = 0;
  std::promise<void> Third;
  Duty.setDrain([&] {
    if (++Drains < 3) {
      Duty.getSignal().raise();
      return;
    }
    Third.set_value();
  });
  Duty.getSignal().raise();
  Duty.start();
  Third.get_future().wait();
  Duty.stop();
  CHECK_EQUAL(3, Drains);
}

TEST(Duties, HostedDutiesShareTheThreadOfTheirHost) {
  duty Host("host");
  duty Guest("guest", &Host);
  std::promise<std::thread::id> HostRan;
  std::promise<std::thread::id> GuestRan;
  std::promise<std::thread::id> GuestDrained;
  Guest.setDrain([&] { GuestDrained.set_value(std::this_thread::get_id()); });
  Guest.start();
  Host.post([&] { HostRan.set_value(std::this_thread::get_id()); });
  Guest.post([&] { GuestRan.set_value(std::this_thread::get_id()); });
  Guest.getSignal().raise();
  Host.start();
  const std::thread::id Thread = HostRan.get_future().get();
  CHECK_TRUE(GuestRan.get_future().get() == Thread);
  CHECK_TRUE(GuestDrained.get_future().get() == Thread);
  // The host runs on after a guest has been stopped.
  Guest.stop();
  std::promise<void> RanLater;
  Host.post([&] { RanLater.set_value(); });
  RanLater.get_future().wait();
}

TEST(Duties, HostedDutiesHandItemsToEachOtherInOrder) {
  constexpr int Items = 1'000;
  constexpr std::size_t Capacity = 2;
  duty Host("host");
  duty Guest("guest", &Host);
  ring<int> There(Capacity, Guest.getSignal());
  ring<int> Back(Capacity, Host.getSignal());
  Guest.setDrain([&] {
    int Value = 0;
    while (There.tryPop(Value)) {
      Back.tryPush(int{Value});
    }
  });
  int Next = 0;
  std::promise<void> Finished;
  Host.setDrain([&] {
    int Value = 0;
    while (Back.tryPop(Value)) {
      if (Value != Next++ || Next == Items) {
        Finished.set_value();
        return;
      }
      There.tryPush(int{Next});
    }
  });
  Host.start();
  Host.post([&] { There.tryPush(0); });
  Finished.get_future().wait();
  Host.stop();
  CHECK_EQUAL(Items, Next);
}

TEST(Duties, StopIsIdempotentAndAllowsANewStart) {
  duty Duty("again");
  Duty.stop();
  Duty.start();
  Duty.stop();
  Duty.stop();
  Duty.start();
  std::promise<void> Ran;
  Duty.post([&Ran] { Ran.set_value(); });
  Ran.get_future().wait();
}

TEST(Duties, StopFromTheDutysOwnThreadDoesNotBlock) {
  duty Duty("self");
  Duty.start();
  std::promise<void> Stopped;
  Duty.post([&] {
    Duty.stop();
    Stopped.set_value();
  });
  Stopped.get_future().wait();
}

TEST(Duties, NoWakeUpIsLostBetweenManyThreads) {
  constexpr int Producers = 4;
  constexpr int ItemsEach = 20'000;
  constexpr std::size_t Capacity = 1;
  duty Duty("consumer");
  std::vector<std::unique_ptr<ring<int>>> Rings;
  Rings.reserve(Producers);
  for (int Index = 0; Index < Producers; ++Index) {
    Rings.push_back(std::make_unique<ring<int>>(Capacity, Duty.getSignal()));
  }
  std::vector<int> Next(Producers, 0);
  int Received = 0;
  bool InOrder = true;
  std::promise<void> Finished;
  Duty.setDrain([&] {
    for (int Index = 0; Index < Producers; ++Index) {
      int Value = 0;
      while (Rings[Index]->tryPop(Value)) {
        InOrder = InOrder && Value == Next[Index]++;
        ++Received;
      }
    }
    if (Received == Producers * ItemsEach) {
      Finished.set_value();
      ++Received;
    }
  });
  Duty.start();
  std::vector<std::thread> Threads;
  Threads.reserve(Producers);
  for (int Index = 0; Index < Producers; ++Index) {
    Threads.emplace_back([&Ring = *Rings[Index]] {
      for (int Value = 0; Value < ItemsEach; ++Value) {
        while (!Ring.tryPush(int{Value})) {
          std::this_thread::yield();
        }
        // Pauses of varying length, so that raises fall into every moment of
        // the consumer's turn.
        constexpr int LongestPause = 1'021;
        std::atomic<int> Pause{Value * 7919 % LongestPause};
        while (Pause.fetch_sub(1) > 0) {
        }
      }
    });
  }
  for (std::thread &Thread : Threads) {
    Thread.join();
  }
  Finished.get_future().wait();
  Duty.stop();
  CHECK_TRUE(InOrder);
}
