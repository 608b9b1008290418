/// \file
/// Public header of the package config: configuration documents, changes and
/// revisions.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace crocuswood::config {

/// Row of the table service that holds the whole configuration.
inline constexpr std::string_view HeadKey = "configuration/head";

/// \returns the canonical JSON document of \p Value.
std::string write(const configuration &Value);
std::string write(const class_spec &Value);
std::string write(const team_spec &Value);

/// Parses what write() writes, or what an operator wrote by hand. Reports every
/// fault: unknown keys, wrong types, values out of range, names that are not
/// `[a-z0-9][a-z0-9_.-]*`. \p Source names the document in findings.
checked<configuration> parseConfiguration(std::string_view Text,
                                          const std::string &Source);
checked<class_spec> parseClass(std::string_view Text,
                               const std::string &Source);
checked<team_spec> parseTeam(std::string_view Text, const std::string &Source);

// Changes.

struct set_class {
  class_spec Class;
};
struct remove_class {
  std::string Name;
};
struct set_team {
  team_spec Team;
};
struct remove_team {
  std::string Name;
};

/// One change by one operator.
struct change {
  std::string
      Id; ///< Unique; settles whether a change with a lost answer took effect.
  std::optional<std::uint64_t>
      ExpectedRevision; ///< Refuse if another change came between.
  std::variant<set_class, remove_class, set_team, remove_team> Operation;
};

/// \returns the next configuration, one revision further, or why \p Change
/// can't be applied.
checked<configuration> apply(const configuration &Current,
                             const change &Change);

// Carrying a change out with compare-and-swap. The caller does the reads and
// writes.

/// The head row as read. An absent row is revision 0.
struct head_read {
  configuration Configuration;
  std::string Version; ///< Empty when absent.
};
struct head_read_failed {};
struct write_done {};
struct write_conflict {};
struct write_refused {};
struct write_unknown {};
using change_event = std::variant<head_read, head_read_failed, write_done,
                                  write_conflict, write_refused, write_unknown>;

struct read_head {};
struct write_head {
  configuration Configuration;
  std::string Version; ///< Compare with; empty: insert if absent.
};
struct change_accepted {
  configuration Configuration;
};
/// Another operator changed the configuration first, and ExpectedRevision was
/// given.
struct change_conflict {
  std::uint64_t CurrentRevision = 0;
};
struct change_invalid {
  findings Findings;
};
/// The store could not be reached. `Certain` tells whether the change certainly
/// had no effect.
struct change_unavailable {
  bool Certain = true;
};
using change_step =
    std::variant<read_head, write_head, change_accepted, change_conflict,
                 change_invalid, change_unavailable>;

/// Drives one change to its end. An unknown write is settled by reading the
/// head and looking for the change id; a conflict without ExpectedRevision is
/// retried on the new head.
class change_runner {
public:
  explicit change_runner(change Change, std::uint32_t MaxAttempts = 8);
  change_step start();
  change_step next(const change_event &Event);

private:
  change_step readAgain();
  change_step decide(const head_read &Head);

  change Change;
  std::uint32_t AttemptsLeft;
  configuration Pending;
  bool MayHaveWritten = false;
};

} // namespace crocuswood::config
