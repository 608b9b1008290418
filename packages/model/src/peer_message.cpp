#include "name_table.h"

#include <crocuswood/model.h>

#include <algorithm>

namespace crocuswood {

namespace {

// In the order of not_started_reason.
constexpr std::array<std::string_view, 8> ReasonNames = {
    "withdrawn",       "full",    "leaving", "unreachable", "unsupported",
    "deadline_passed", "unknown", "refused",
};
static_assert(ReasonNames.size() ==
              static_cast<std::size_t>(not_started_reason::Refused) + 1);

} // namespace

std::string toString(not_started_reason Reason) {
  return std::string(ReasonNames.at(static_cast<std::size_t>(Reason)));
}

std::uint32_t capacityOf(const endpoint_report &Endpoint) {
  return Endpoint.MilliCores > 0 ? Endpoint.MilliCores
                                 : Endpoint.Slots * SlotRoom;
}

std::uint32_t roomFor(const endpoint_report &Endpoint,
                      const task_needs &Needs) {
  if (Endpoint.MilliCores == 0) {
    return SlotRoom;
  }
  return Needs.MilliCores > 0
             ? Needs.MilliCores
             : std::max(1U, Endpoint.MilliCores / std::max(1U, Endpoint.Slots));
}

} // namespace crocuswood
