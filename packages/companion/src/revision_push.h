/// \file
/// Brings entries with a smaller configuration up to date.
#pragma once

#include "entry_links.h"
#include "entry_registry.h"
#include "spread_generator.h"
#include "step.h"

#include <crocuswood/model.h>

#include <cstdint>

namespace crocuswood::companion {

/// Sends the configuration to an entry whose revision has been smaller for a
/// random time, see ConfigurationPushSpread.
class revision_push {
public:
  revision_push(const configuration &Configuration, entry_links &Links,
                std::uint64_t Seed)
      : Configuration(Configuration), Links(Links), Generator(Seed) {}

  /// \p Peer has told its revision.
  static void note(entry_peer &Peer, std::uint64_t Revision);
  void check(const step &Step, entry_peer &Peer);

private:
  const configuration &Configuration;
  entry_links &Links;
  spread_generator Generator;
};

} // namespace crocuswood::companion
