/// \file
/// The decisions' thread of a companion.
#pragma once

#include "decision_duty.h"

#include <crocuswood/companion.h>

#include <atomic>
#include <vector>

namespace crocuswood::daemon {

/// Rings that only a companion's decisions are joined to.
struct companion_rings {
  rings::ring<endpoint_item> &FromEndpoint;
  rings::ring<endpoint_command> &ToEndpoint;
  rings::ring<platform_item> &FromPlatform;
  std::atomic<bool> &HasEntry; ///< Whether any link to an entry is open.
};

/// Runs companion::core.
class companion_decisions : public decision_duty {
public:
  companion_decisions(rings::duty &Duty, const clock_port &Clock,
                      const companion::options &Options, decision_rings Rings,
                      companion_rings OwnRings);

protected:
  bool takeOwnItems(instant Now, bool TakeNewWork) override;
  void takeLinkItem(instant Now, link_item Item) override;
  void takeStop(instant Now) override;
  void takeEntries(instant Now,
                   const std::vector<peer_address> &Entries) override;
  void takeTimer(instant Now) override;
  void finishTurn(instant Now) override;
  status_snapshot getStatus() const override;
  const configuration &getConfiguration() const override {
    return Core.getConfiguration();
  }
  bool flushOwn() override;

private:
  void handle(instant Now, companion::event Event);
  void carryOut(companion::action Action);

  companion::core Core;
  companion_rings OwnRings;
  outbox<endpoint_command> ToEndpoint;
  std::vector<companion::action> Actions;
};

} // namespace crocuswood::daemon
