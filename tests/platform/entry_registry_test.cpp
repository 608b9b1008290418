#include "fake_table.h"

#include <crocuswood/platform.h>

#include <memory>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::platform;
using namespace std::chrono_literals;

TEST_GROUP(EntryRegistry) {
  fake_table Table;
  std::vector<entry_row> Live;
  instant Now{1s};

  static entry_row row(const std::string &Name) {
    return {.Name = Name,
            .Incarnation = incarnation{1},
            .Links = {.Host = "127.0.0.1", .Port = 7000},
            .Operators = {.Host = "127.0.0.1", .Port = 9000}};
  }

  entry_registry makeRegistry(const std::string &Name) {
    return entry_registry(
        Table, row(Name), 30s,
        [this](const std::vector<entry_row> &Rows) { Live = Rows; });
  }

  void refresh(entry_registry & Registry) {
    Registry.refresh([this] { return Now; });
  }
};

TEST(EntryRegistry, RowThatIsNotRenewedIsDroppedByTheReadersClock) {
  entry_registry First = makeRegistry("entry-1");
  entry_registry Second = makeRegistry("entry-2");
  First.renew();
  Second.renew();
  refresh(First);
  CHECK_EQUAL(2, Live.size());
  Now += 31s;
  First.renew();
  refresh(First);
  CHECK_EQUAL(1, Live.size());
  CHECK_TRUE(Live.front() == row("entry-1"));
  Now += 300s;
  First.renew();
  refresh(First);
  CHECK_EQUAL(1, Table.Rows.size());
}

TEST(EntryRegistry, OutageKeepsTheLastList) {
  entry_registry Registry = makeRegistry("entry-1");
  Registry.renew();
  refresh(Registry);
  Table.Mode = fake_table::mode::Down;
  Now += 600s;
  refresh(Registry);
  CHECK_EQUAL(1, Live.size());
  CHECK_FALSE(Registry.isStoreUp());
}

TEST(EntryRegistry, UnreadableRowIsPassedOver) {
  Table.Rows["entries/bad"] = {
      .Key = "entries/bad", .Value = "{\"links\":5}", .Version = "x"};
  entry_registry Registry = makeRegistry("entry-1");
  Registry.renew();
  refresh(Registry);
  CHECK_EQUAL(1, Live.size());
}
