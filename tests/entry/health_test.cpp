#include "fake_fleet.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;

namespace {

constexpr std::size_t Companions = 10;
constexpr std::uint32_t Slots = 8;
constexpr std::size_t Bad = 3;
constexpr duration FailureTime = std::chrono::milliseconds(2);

// Submits a task of each class in turn every few milliseconds.
void load(entry_harness &Entry, fake_fleet &Fleet, duration Span,
          const std::vector<std::string> &Classes) {
  const instant End = Entry.Now + Span;
  std::size_t Turn = 0;
  while (Entry.Now < End) {
    Entry.submit(Classes[Turn++ % Classes.size()]);
    Fleet.pass(std::chrono::milliseconds(2));
  }
}

} // namespace

TEST_GROUP(Health) {
  entry_harness Entry;
  std::size_t SetAside = 0;
  std::size_t Restored = 0;

  void setup() override {
    Entry.handle(configuration_read{entry_harness::defaultConfiguration()});
  }

  std::size_t countSetAside() const {
    std::size_t Count = 0;
    for (const companion_status &Each : Entry.Core.getStatus().Companions) {
      Count += Each.SetAside ? 1 : 0;
    }
    return Count;
  }
};

TEST(Health, BadWorkerTakesFewTasksAndComesBackByProbation) {
  bool IsBad = true;
  fake_fleet Fleet(Entry, Companions, Slots,
                   [&](std::size_t Companion, const std::string &) {
                     return Companion == Bad && IsBad
                                ? fake_fleet::run{FailureTime, true}
                                : fake_fleet::run{};
                   });
  load(Entry, Fleet, std::chrono::seconds(3), {"fast", "slow"});
  CHECK_EQUAL(1U, countSetAside());
  CHECK_TRUE(Fleet.getStarted(Bad) < 10);
  IsBad = false;
  load(Entry, Fleet, std::chrono::seconds(8), {"fast", "slow"});
  CHECK_EQUAL(0U, countSetAside());
  CHECK_TRUE(Fleet.getStarted(Bad) > 50);
}

TEST(Health, WorkerThatTurnsBadTakesFewTasks) {
  bool IsBad = false;
  fake_fleet Fleet(Entry, Companions, Slots,
                   [&](std::size_t Companion, const std::string &) {
                     return Companion == Bad && IsBad
                                ? fake_fleet::run{FailureTime, true}
                                : fake_fleet::run{};
                   });
  load(Entry, Fleet, std::chrono::seconds(2), {"fast"});
  const std::uint32_t Before = Fleet.getStarted(Bad);
  IsBad = true;
  load(Entry, Fleet, std::chrono::seconds(3), {"fast"});
  CHECK_EQUAL(1U, countSetAside());
  CHECK_TRUE(Fleet.getStarted(Bad) - Before < 10);
}

TEST(Health, ClassThatFailsEverywhereSetsAsideNobody) {
  bool IsBad = false;
  fake_fleet Fleet(
      Entry, Companions, Slots, [&](std::size_t, const std::string &Class) {
        return Class == "fast" && IsBad ? fake_fleet::run{FailureTime, true}
                                        : fake_fleet::run{};
      });
  load(Entry, Fleet, std::chrono::seconds(1), {"fast", "slow"});
  IsBad = true;
  for (int Round = 0; Round < 20; ++Round) {
    load(Entry, Fleet, std::chrono::milliseconds(200), {"fast", "slow"});
    CHECK_EQUAL(0U, countSetAside());
  }
  const std::uint64_t Completed =
      Entry.Core.getStatus().Classes.at("slow").Completed;
  CHECK_TRUE(Completed > 1000);
}

TEST(Health, WorkerThatFailsOneClassKeepsTheOthers) {
  fake_fleet Fleet(Entry, Companions, Slots,
                   [&](std::size_t Companion, const std::string &Class) {
                     return Companion == Bad && Class == "fast"
                                ? fake_fleet::run{FailureTime, true}
                                : fake_fleet::run{};
                   });
  load(Entry, Fleet, std::chrono::seconds(4), {"fast", "slow"});
  CHECK_EQUAL(0U, countSetAside());
  const class_status Fast = Entry.Core.getStatus().Classes.at("fast");
  CHECK_TRUE(Fast.Failed < 10);
  CHECK_TRUE(Fleet.getStarted(Bad) > 50);
}

TEST(Health, RareFailuresSetAsideNobody) {
  std::uint32_t Runs = 0;
  fake_fleet Fleet(Entry, Companions, Slots,
                   [&](std::size_t, const std::string &) {
                     return fake_fleet::run{.Fails = ++Runs % 20 == 0};
                   });
  load(Entry, Fleet, std::chrono::seconds(5), {"fast"});
  CHECK_EQUAL(0U, countSetAside());
  for (std::size_t Each = 0; Each < Companions; ++Each) {
    CHECK_TRUE(Fleet.getStarted(Each) > 100);
  }
}

TEST(Health, AloneWorkerIsNeverSetAside) {
  fake_fleet Fleet(Entry, 1, Slots, [&](std::size_t, const std::string &) {
    return fake_fleet::run{FailureTime, true};
  });
  load(Entry, Fleet, std::chrono::seconds(2), {"fast"});
  CHECK_EQUAL(0U, countSetAside());
  CHECK_TRUE(Fleet.getStarted(0) > 500);
}
