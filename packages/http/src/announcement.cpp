#include "json_text.h"

#include <crocuswood/http.h>

#include <nlohmann/json.hpp>

#include <limits>

namespace crocuswood::http {

namespace {

using nlohmann::json;

constexpr std::uint32_t MaxSlots = 4'096;
constexpr std::size_t MaxClasses = 256;
constexpr std::size_t MaxNameBytes = 256;

/// Takes the keys of one announcement and collects what is wrong.
class announcement_reader {
public:
  explicit announcement_reader(const json &Root) : Root(Root) {}

  checked<companion::endpoint_announcement> read() {
    companion::endpoint_announcement Result;
    reportUnknownKeys();
    Result.Name = text("name");
    Result.Address = address();
    Result.Offer.State =
        flag("leaving") ? endpoint_state::Leaving : endpoint_state::Serving;
    Result.Offer.Classes = classes();
    Result.Offer.Slots =
        static_cast<std::uint32_t>(number("slots", true, 1, MaxSlots));
    Result.Offer.MemoryBytes = number("memory_bytes", false, 0,
                                      std::numeric_limits<std::int64_t>::max());
    Result.Offer.Accelerators =
        static_cast<std::uint32_t>(number("accelerators", false, 0, MaxSlots));
    if (!Findings.empty()) {
      return std::move(Findings);
    }
    return Result;
  }

private:
  void report(std::string Path, std::string Message) {
    Findings.push_back({.Source = BodySource,
                        .Path = std::move(Path),
                        .Message = std::move(Message)});
  }

  void reportUnknownKeys() {
    static constexpr std::array<std::string_view, 7> Known = {
        "name",         "address",      "classes", "slots",
        "memory_bytes", "accelerators", "leaving"};
    for (const auto &[Key, Value] : Root.items()) {
      if (std::find(Known.begin(), Known.end(), Key) == Known.end() &&
          Findings.size() < MaxFindings) {
        report(Key, "is not a known key");
      }
    }
  }

  std::string text(const char *Key) {
    const auto Found = Root.find(Key);
    if (Found == Root.end()) {
      report(Key, "is missing");
      return {};
    }
    if (!isName(*Found)) {
      report(Key, "must be a string of 1 to 256 bytes");
      return {};
    }
    return Found->get<std::string>();
  }

  static bool isName(const json &Value) {
    if (!Value.is_string()) {
      return false;
    }
    const std::size_t Size = Value.get_ref<const std::string &>().size();
    return Size >= 1 && Size <= MaxNameBytes;
  }

  peer_address address() {
    const std::string Text = text("address");
    if (Text.empty()) {
      return {};
    }
    const auto Address = parsePeerAddress(Text);
    if (!Address || Address->Port == 0) {
      report("address", "must be an IP number and a port, such as "
                        "\"10.0.0.1:8080\"");
      return {};
    }
    return *Address;
  }

  bool flag(const char *Key) {
    const auto Found = Root.find(Key);
    if (Found == Root.end()) {
      return false;
    }
    if (!Found->is_boolean()) {
      report(Key, "must be true or false");
      return false;
    }
    return Found->get<bool>();
  }

  std::uint64_t number(const char *Key, bool Required, std::uint64_t Least,
                       std::uint64_t Most) {
    const auto Found = Root.find(Key);
    if (Found == Root.end()) {
      if (Required) {
        report(Key, "is missing");
      }
      return 0;
    }
    if (!Found->is_number_unsigned() || Found->get<std::uint64_t>() < Least ||
        Found->get<std::uint64_t>() > Most) {
      report(Key, "must be a whole number from " + std::to_string(Least) +
                      " to " + std::to_string(Most));
      return 0;
    }
    return Found->get<std::uint64_t>();
  }

  std::vector<std::string> classes() {
    const auto Found = Root.find("classes");
    if (Found == Root.end()) {
      report("classes", "is missing");
      return {};
    }
    if (!Found->is_array() || Found->size() > MaxClasses) {
      report("classes", "must be an array of at most 256 names");
      return {};
    }
    std::vector<std::string> Names;
    for (std::size_t Index = 0; Index < Found->size(); ++Index) {
      const json &Value = (*Found)[Index];
      if (!isName(Value)) {
        report("classes[" + std::to_string(Index) + "]",
               "must be a string of 1 to 256 bytes");
        continue;
      }
      Names.push_back(Value.get<std::string>());
    }
    return Names;
  }

  const json &Root;
  findings Findings;
};

} // namespace

checked<companion::endpoint_announcement>
parseAnnouncement(std::string_view Body) {
  json Root;
  try {
    Root = json::parse(Body);
  } catch (const json::parse_error &Error) {
    const std::size_t Offset = Error.byte == 0 ? 0 : Error.byte - 1;
    return findings{findingAt(Body, Offset, "", shortMessage(Error.what()))};
  } catch (const json::exception &Error) {
    return findings{findingAt(Body, 0, "", shortMessage(Error.what()))};
  }
  if (!Root.is_object()) {
    return findings{findingAt(Body, 0, "", "must be an object")};
  }
  return announcement_reader(Root).read();
}

} // namespace crocuswood::http
