/// \file
/// Reads one JSON object of a configuration document and collects its faults.
#pragma once

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <set>
#include <string>
#include <string_view>

namespace crocuswood::config {

/// Reads the keys of one object. A key that no call asks for is a fault, found
/// by finish(). Each call leaves its target as it is when the key is absent or
/// faulty.
class object_reader {
public:
  /// \p Path leads to \p Object and is empty for the document. \p Object and \p
  /// Faults outlive the reader.
  object_reader(const nlohmann::json &Object, std::string Path,
                std::string Source, findings &Faults);

  void readName(const char *Key, std::string &Target);
  void readText(const char *Key, std::string &Target);
  void readFlag(const char *Key, bool &Target);
  void readDuration(const char *Key, duration &Target, duration Least,
                    duration Greatest);
  /// Bounds are included.
  void readNumber(const char *Key, double &Target, double Least,
                  double Greatest);
  void readWhole(const char *Key, std::uint64_t &Target,
                 std::uint64_t Greatest);
  /// \returns the list below \p Key, an empty one if absent or faulty.
  const nlohmann::json &readList(const char *Key);

  void addFault(std::string_view Key, std::string Message);
  /// Reports the keys that nobody asked for.
  void finish();
  std::string pathOf(std::string_view Key) const;

private:
  const nlohmann::json *find(const char *Key);

  const nlohmann::json &Object;
  std::string Path;
  std::string Source;
  findings &Faults;
  std::set<std::string, std::less<>> Asked;
};

} // namespace crocuswood::config
