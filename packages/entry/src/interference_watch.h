/// \file
/// Feeds the ends of tasks to the model of interference.
#pragma once

#include "action_sink.h"
#include "class_table.h"
#include "companion_table.h"

#include <crocuswood/interference.h>

#include <optional>
#include <vector>

namespace crocuswood::entry {

/// What the entry has learned of classes that slow each other down.
class interference_watch {
public:
  interference_watch(bool IsOn, const class_table &Classes,
                     const companion_table &Companions, action_sink &Sink)
      : IsOn(IsOn), Classes(Classes), Companions(Companions), Sink(Sink) {}

  /// Takes the end of \p Task, which is still assigned to \p Companion.
  /// \p RunTime is that on an endpoint of usual speed.
  void noteEnd(companion_index Companion, const task_ref &Task,
               duration RunTime);
  void checkTimes();
  /// \returns the model if it believes in any harm, else null.
  const interference::model *getHarms() const {
    return Model.believesAny() ? &Model : nullptr;
  }
  std::vector<interference_status> getStatus() const;
  /// \returns nothing while it is off.
  std::optional<interference_figures> getFigures() const;

private:
  void recordChanges();

  bool IsOn = false;
  const class_table &Classes;
  const companion_table &Companions;
  action_sink &Sink;
  interference::model Model;
  interference_figures Figures;
  instant FadedAt;
  std::vector<interference::pair_effect> Changes;
};

} // namespace crocuswood::entry
