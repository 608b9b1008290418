// Reading the operators' document again and again.
#include <crocuswood/site.h>

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;
using namespace crocuswood::site;

namespace {

std::string makeDocument(int Version) {
  return R"({"version":)" + std::to_string(Version) + R"(,"routes":[]})";
}

/// A table with one row.
class one_row : public table_service {
public:
  void read(const std::string &Key,
            std::function<void(read_outcome)> Done) override {
    Done({.Status = store_status::Done,
          .Row = row{.Key = Key, .Value = Value, .Version = Version}});
  }
  void readRange(const std::string & /*Prefix*/,
                 std::function<void(range_outcome)> Done) override {
    Done({});
  }
  void write(std::vector<row_write> /*Writes*/,
             std::function<void(std::vector<write_outcome>)> Done) override {
    Done({});
  }

  std::string Value = makeDocument(3);
  std::string Version = "10";
};

} // namespace

TEST_GROUP(OperatorConfiguration) {
  one_row Table;
  std::vector<std::uint64_t> Read;
  std::size_t Rejected = 0;
  operator_configuration Source{
      Table,
      [this](const configuration &Value) { Read.push_back(Value.Revision); },
      [this](const findings &) { ++Rejected; }};
};

TEST(OperatorConfiguration, AChangedRowIsRead) {
  Source.poll();
  Table.Value = makeDocument(5);
  Table.Version = "11";
  Source.poll();
  CHECK_TRUE(Read == (std::vector<std::uint64_t>{3, 5}));
}

// Guards against an entry whose processor time goes into parsing a document of
// thousands of routes that has not changed.
TEST(OperatorConfiguration, ARowOfTheSameVersionIsNotParsedAgain) {
  Source.poll();
  Table.Value = makeDocument(5);
  Source.poll();
  CHECK_TRUE(Read == std::vector<std::uint64_t>{3});
}

TEST(OperatorConfiguration, AFaultyRowIsReportedOnce) {
  Table.Value = "not a document";
  Source.poll();
  Source.poll();
  CHECK_EQUAL(1U, Rejected);
  CHECK_TRUE(Read.empty());
}
