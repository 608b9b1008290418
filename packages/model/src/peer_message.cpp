#include "name_table.h"

#include <crocuswood/model.h>

namespace crocuswood {

namespace {

// In the order of not_started_reason.
constexpr std::array<std::string_view, 7> ReasonNames = {
    "withdrawn",       "full",    "leaving", "unreachable", "unsupported",
    "deadline_passed", "unknown",
};
static_assert(ReasonNames.size() ==
              static_cast<std::size_t>(not_started_reason::Unknown) + 1);

} // namespace

std::string toString(not_started_reason Reason) {
  return std::string(ReasonNames.at(static_cast<std::size_t>(Reason)));
}

} // namespace crocuswood
