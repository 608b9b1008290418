/// \file
/// The product's placement policy.
#pragma once

#include "placement_policy.h"

namespace crocuswood::entry {

/// Places a task on the companion with the most free slots and holds it at the
/// entry while every slot is taken, since the entry learns first which slot
/// becomes free. With many tasks waiting, each companion gets a short queue, so
/// that no slot idles for a round trip.
class slot_policy : public placement_policy {
public:
  companion_index choose(const placement_query &Query) override;
};

} // namespace crocuswood::entry
