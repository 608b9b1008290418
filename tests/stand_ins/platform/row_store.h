/// \file
/// Rows with versions and conditional writes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace crocuswood::stand_ins {

/// A row as it is kept. The ETag is the quoted version.
struct stored_row {
  std::string Value;
  std::uint64_t Version = 0;

  std::string getEtag() const;
};

/// Condition of a write, as in RFC 9110. Empty members are no condition.
struct precondition {
  std::string IfMatch;
  std::string IfNoneMatch;
};

/// How a write ended: HTTP status and the row's new ETag.
struct write_result {
  unsigned Status = 200;
  std::string Etag;
};

/// The table of the platform's stand-in.
class row_store {
public:
  const stored_row *find(const std::string &Key) const;
  std::vector<std::pair<std::string, stored_row>>
  range(const std::string &Prefix) const;
  /// Writes \p Value, or deletes the row when there is none.
  write_result write(const std::string &Key, std::optional<std::string> Value,
                     const precondition &Condition);

private:
  bool holds(const stored_row *Row, const precondition &Condition) const;

  std::map<std::string, stored_row> Rows;
  std::uint64_t LastVersion = 0;
};

} // namespace crocuswood::stand_ins
