/// \file
/// Reads one event of the time line from its JSON object.
#pragma once

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace crocuswood::timeline {

/// Collects the fields of one event and the faults in them. Keys that it does
/// not know are passed over, so that a newer process's time line can be read.
class event_reader {
public:
  /// \p Object must outlive the reader.
  event_reader(const nlohmann::json &Object, std::string Source,
               std::uint32_t LineNumber);
  checked<timeline_event> read();

private:
  void readKind(timeline_event &Event);
  void readIds(timeline_event &Event);
  void readText(const char *Key, std::string &Target);
  template <class Number>
  void readNumber(const char *Key, Number &Target, bool Required = false);
  const nlohmann::json *find(const char *Key, bool Required = false);
  void fault(const char *Key, std::string Message);

  const nlohmann::json &Object;
  std::string Source;
  std::uint32_t LineNumber;
  findings Faults;
};

} // namespace crocuswood::timeline
