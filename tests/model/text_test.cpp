#include <crocuswood/model.h>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

TEST_GROUP(Texts){};

TEST(Texts, DurationsParseBack) {
  for (const char *Text : {"0s", "1us", "400ms", "2s", "90s", "5m", "24h"}) {
    const auto Value = parseDuration(Text);
    CHECK_TRUE(Value.has_value());
    CHECK_TRUE(parseDuration(formatDuration(*Value)) == Value);
  }
  CHECK_TRUE(parseDuration("1.5s") == std::chrono::milliseconds(1500));
  CHECK_EQUAL(std::string("400ms"),
              formatDuration(std::chrono::milliseconds(400)));
}

TEST(Texts, MalformedDurationsAreRefused) {
  for (const char *Text : {"", "5", "s", "-1s", "1 s", "1.s", ".5s", "1.2.3s",
                           "0.5us", "1e3s", "99999999h", "1S", "nans"}) {
    CHECK_FALSE(parseDuration(Text).has_value());
  }
}

TEST(Texts, ByteSizesHaveBinaryUnits) {
  CHECK_TRUE(parseByteSize("8MB") == 8ULL * 1024 * 1024);
  CHECK_TRUE(parseByteSize("16KB") == 16ULL * 1024);
  CHECK_TRUE(parseByteSize("12") == 12ULL);
  for (const char *Text : {"", "MB", "1GB", "-1", "1.5MB",
                           "99999999999999999999", "18446744073709551615KB"}) {
    CHECK_FALSE(parseByteSize(Text).has_value());
  }
}

TEST(Texts, AddressesAreIpNumbers) {
  for (const char *Text : {"127.0.0.1:80", "[::1]:443", "0.0.0.0:0"}) {
    const auto Address = parsePeerAddress(Text);
    CHECK_TRUE(Address.has_value());
    CHECK_EQUAL(std::string(Text), toString(*Address));
  }
  for (const char *Text : {"", "localhost:80", "127.0.0.1", "127.0.0.1:",
                           "127.0.0.1:65536", "::1:443", "[127.0.0.1]:1"}) {
    CHECK_FALSE(parsePeerAddress(Text).has_value());
  }
}
