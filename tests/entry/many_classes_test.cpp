#include "entry_harness.h"

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::entry;
using std::chrono::seconds;

namespace {

constexpr link_id A{1};

configuration addIdleClasses(std::size_t Count) {
  configuration Configuration = entry_harness::defaultConfiguration();
  for (std::size_t Each = 0; Each < Count; ++Each) {
    const std::string Name = "idle-" + std::to_string(Each);
    Configuration.Classes[Name] = {
        .Name = Name, .AnswerWithin = seconds(1), .Pool = "slow"};
  }
  return Configuration;
}

// The class that is used has a name, and so an index, behind the idle ones.
std::uint64_t countVisits(std::size_t IdleClasses) {
  entry_harness Entry;
  Entry.handle(configuration_read{addIdleClasses(IdleClasses)});
  Entry.connect(A, "runner-a", 2);
  for (int Job = 0; Job < 10; ++Job) {
    Entry.submit("slow", 4);
  }
  Entry.pass(seconds(2));
  return Entry.Core.getStatus().ClassVisits;
}

} // namespace

TEST_GROUP(ManyClasses){};

// Guards against service that does not come back after a restart because the
// checks of an entry take more time with every class that is configured.
TEST(ManyClasses, IdleOnesAddNothingToTheWorkOfTheChecks) {
  CHECK_EQUAL(countVisits(0), countVisits(1'450));
}

TEST(ManyClasses, AClassThatIsIdleForTheWholeWindowStartsAnew) {
  entry_harness Entry;
  Entry.handle(configuration_read{addIdleClasses(0)});
  Entry.connect(A, "runner-a", 2);
  const request_id First = Entry.submit("slow");
  Entry.complete(A, Entry.placed(A).front());
  CHECK_TRUE(Entry.isCompleted(First));
  // The window is 60 s long.
  for (int Second = 0; Second < 70; ++Second) {
    Entry.pass(seconds(1));
    Entry.receive(A, {companion_heartbeat{.ConfigurationRevision = 1}});
  }
  const std::uint64_t Before = Entry.Core.getStatus().ClassVisits;
  Entry.pass(seconds(1));
  CHECK_EQUAL(Before, Entry.Core.getStatus().ClassVisits);
  CHECK_TRUE(Entry.answerOf(Entry.submit("slow")) == nullptr);
}
