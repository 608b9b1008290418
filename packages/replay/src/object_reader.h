/// \file
/// Reads the members of a JSON object of a trace and gathers every fault.
#pragma once

#include <crocuswood/model.h>

#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::replay {

/// \returns nothing unless \p Text is a number with the unit us, ms, s, m or h.
std::optional<duration> parseDuration(std::string_view Text);

/// Where faults are noted.
struct fault_list {
  std::string Source;
  findings Findings;
};

/// One JSON object. Members that nobody asked for are faults, noted by
/// finish().
class object_reader {
public:
  using json = nlohmann::json;

  object_reader(const json &Object, fault_list &Faults, std::uint32_t Line,
                std::string Path);

  bool has(const std::string &Name) const { return Object.contains(Name); }
  /// Notes a fault at the member \p Name, or at the object when it is empty.
  void fault(const std::string &Name, const std::string &Message);
  std::string readText(const std::string &Name, std::string Default);
  std::string requireText(const std::string &Name);
  double readNumber(const std::string &Name, double Default);
  std::uint64_t readCount(const std::string &Name, std::uint64_t Default);
  bool readFlag(const std::string &Name, bool Default);
  duration readSpan(const std::string &Name, duration Default);
  std::optional<duration> findSpan(const std::string &Name);
  std::vector<std::string> readTexts(const std::string &Name);
  /// \returns the elements of a list of objects; none if it is absent.
  std::vector<object_reader> readObjects(const std::string &Name);
  std::optional<object_reader> findObject(const std::string &Name);
  /// \returns the member as it is, or null if it is absent.
  const json *find(const std::string &Name);
  /// Reads \p Name as one of \p Names. \returns the position, or 0 with a
  /// fault.
  std::size_t readChoice(const std::string &Name,
                         const std::vector<std::string> &Names);
  std::vector<std::string> listNames() const;
  void finish();
  std::uint32_t getLine() const { return Line; }

private:
  json Object;
  fault_list *Faults;
  std::uint32_t Line;
  std::string Path;
  std::set<std::string> Asked;
};

} // namespace crocuswood::replay
