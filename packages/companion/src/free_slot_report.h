/// \file
/// Tells entries of slots that have become free.
#pragma once

#include "entry_links.h"
#include "entry_registry.h"
#include "task_desk.h"

#include <crocuswood/model.h>

namespace crocuswood::companion {

/// Tells one entry with waiting tasks of a free slot, in turn.
class free_slot_report {
public:
  free_slot_report(entry_registry &Entries, entry_links &Links, task_desk &Desk)
      : Entries(Entries), Links(Links), Desk(Desk) {}

  /// A run of a task of \p Ended has ended.
  void report(incarnation Ended);

private:
  entry_registry &Entries;
  entry_links &Links;
  task_desk &Desk;
  incarnation LastReported{};
};

} // namespace crocuswood::companion
