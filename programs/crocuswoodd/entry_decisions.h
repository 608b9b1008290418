/// \file
/// The decisions' thread of an entry.
#pragma once

#include "decision_duty.h"

#include <crocuswood/entry.h>

#include <vector>

namespace crocuswood::daemon {

/// Rings that only an entry's decisions are joined to.
struct entry_rings {
  rings::ring<front_item> &FromFront;
  rings::ring<front_command> &ToFront;
  rings::ring<platform_item> &FromPlatform;
  rings::ring<platform_command> &ToPlatform;
};

/// Runs entry::core.
class entry_decisions : public decision_duty {
public:
  entry_decisions(rings::duty &Duty, const clock_port &Clock,
                  const entry::options &Options, decision_rings Rings,
                  entry_rings OwnRings);

protected:
  bool takeOwnItems(instant Now, bool TakeNewWork) override;
  void takeLinkItem(instant Now, link_item Item) override;
  void takeStop(instant Now) override;
  void takeTimer(instant Now) override;
  void takeLag(instant Now, duration Lag) override;
  void takePause(instant Now) override;
  void finishTurn(instant Now) override;
  status_snapshot getStatus() const override { return Core.getStatus(); }
  const configuration &getConfiguration() const override {
    return Core.getConfiguration();
  }
  bool flushOwn() override;

private:
  void handle(instant Now, entry::event Event);
  void takeFrontItem(instant Now, front_item Item);
  void takePlatformItem(instant Now, platform_item Item);
  void carryOut(entry::action Action);

  entry::core Core;
  entry_rings OwnRings;
  outbox<front_command> ToFront;
  outbox<platform_command> ToPlatform;
  std::vector<entry::action> Actions;
};

} // namespace crocuswood::daemon
