/// \file
/// Reads one map of a settings document and collects every fault in it.
#pragma once

#include <crocuswood/model.h>

#include <yaml-cpp/yaml.h>

#include <cstdint>
#include <initializer_list>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::settings {

/// Whether a key may be left out.
enum class presence : std::uint8_t { Optional, Required };

/// Least and greatest value of a setting.
template <class Value> struct bounds {
  Value Least;
  Value Greatest;
};

/// Reads the keys of one map. A key that no call asks for is a fault, found by
/// finish(). Each call leaves its target as it is when the key is absent or
/// faulty.
class map_reader {
public:
  /// \p Path leads to \p Map and is empty for the document. \p Faults outlives
  /// the reader.
  map_reader(const YAML::Node &Map, std::string Path, std::string Source,
             findings &Faults);

  void readName(const char *Key, std::string &Target, presence Presence);
  void readText(const char *Key, std::string &Target, presence Presence);
  void readChoice(const char *Key, std::string &Target,
                  std::initializer_list<std::string_view> Choices);
  /// A port of 0 lets the system choose; it is a fault if \p PortRequired.
  /// \returns whether the key has a valid address.
  bool readAddress(const char *Key, peer_address &Target, presence Presence,
                   bool PortRequired = false);
  /// Reads a list of addresses, which may be empty. \returns whether the key is
  /// there.
  bool readAddresses(const char *Key, std::vector<peer_address> &Target);
  void readDuration(const char *Key, duration &Target, bounds<duration> Bounds);
  void readNumber(const char *Key, std::uint32_t &Target,
                  bounds<std::uint32_t> Bounds);
  void readByteSize(const char *Key, std::uint32_t &Target,
                    bounds<std::uint32_t> Bounds);
  /// \returns whether \p Key has a map.
  bool hasMap(const char *Key) const;
  /// \returns a reader of the map below \p Key; one of an empty map if absent
  /// or faulty.
  map_reader readMap(const char *Key);

  /// Adds a fault at the value of \p Key, or at the map if it has no such key.
  void addFault(std::string_view Key, std::string Message);
  /// Reports the keys that nobody asked for.
  void finish();

private:
  YAML::Node find(const char *Key, presence Presence);
  /// \returns nothing if the key is absent or no scalar.
  std::optional<std::string> findScalar(const char *Key, presence Presence,
                                        std::string_view Expected);
  void readBounded(const char *Key, std::uint32_t &Target,
                   std::optional<std::uint64_t> Value,
                   bounds<std::uint32_t> Bounds);
  void addFaultAt(const YAML::Mark &Mark, std::string_view Key,
                  std::string Message);
  void checkKeys();
  std::string pathOf(std::string_view Key) const;

  YAML::Node Map;
  std::string Path;
  std::string Source;
  findings &Faults;
  std::set<std::string, std::less<>> Asked;
};

} // namespace crocuswood::settings
