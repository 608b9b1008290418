/// \file
/// Public header of the package config_check: what is doubtful about a valid
/// configuration, how it differs from another one, and where.
#pragma once

#include <crocuswood/model.h>

#include <compare>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace crocuswood::config_check {

enum class severity { Note, Warning, Error };

/// One result of a check.
struct remark {
  severity Severity = severity::Note;
  std::string Code; ///< Stable name of the rule, such as `shadowed-route`.
  finding What;
  std::string Effect; ///< What it will do; may be empty.

  friend auto operator<=>(const remark &, const remark &) = default;
};

using remarks = std::vector<remark>;

/// What one endpoint offers.
struct endpoint_offer {
  std::vector<std::string> Pools; ///< Names that it announces.
  std::uint64_t MemoryBytes = 0;
  std::uint32_t Accelerators = 0;

  friend auto operator<=>(const endpoint_offer &,
                          const endpoint_offer &) = default;
};

/// A place in a document.
struct place {
  std::uint32_t Line = 0;
  std::uint32_t Column = 0;
  std::string Value; ///< The text, if it is one without escapes.

  friend auto operator<=>(const place &, const place &) = default;
};

/// Places of a JSON document's values by their paths, such as
/// `classes[1].name`. Where the document isn't valid JSON, the places before
/// that are there.
using place_map = std::map<std::string, place>;
place_map locate(std::string_view Text);

/// \returns warnings about a configuration that can be accepted. The paths
/// begin with `classes.NAME`.
remarks check(const configuration &Value);
/// \returns warnings about classes that none of \p Offers can run.
remarks checkOffers(const configuration &Value,
                    const std::vector<endpoint_offer> &Offers);
/// \returns warnings about routes of the platform's document that later ones
/// with the same name replace.
remarks checkRouteNames(const place_map &Places);
/// \returns notes on what changes from \p Old to \p New, with the effects.
remarks compare(const configuration &Old, const configuration &New);
/// \returns errors, one for each of \p Faults.
remarks toRemarks(const findings &Faults);

/// Fills in lines and columns. A path below `classes.NAME` is looked for in the
/// item of \p Places with that name, and a path without a place gets that of
/// what it is part of.
void setPlaces(remarks &Remarks, const place_map &Places);

/// \returns \p Remarks with the lines of \p Text that they are about.
std::string format(const remarks &Remarks, std::string_view Text);
std::string formatJson(const remarks &Remarks);
severity findWorst(const remarks &Remarks);

} // namespace crocuswood::config_check
