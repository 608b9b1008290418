#include "entry_state.h"

#include <utility>

namespace crocuswood::entry {

entry_state::entry_state(options Given)
    : Options(std::move(Given)), Jobs(Options.Self.Incarnation),
      Companions(Classes, Evacuation, Options.Zone, Options.FollowsSpeed,
                 Options.AvoidsInterference, Options.SlowStart),
      Interference(Options.AvoidsInterference, Classes, Companions, Sink) {}

} // namespace crocuswood::entry
