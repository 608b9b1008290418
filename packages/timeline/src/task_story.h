/// \file
/// The way of one task, in words.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <string>
#include <vector>

namespace crocuswood::timeline {

/// Refers to the events of one task, which must outlive it.
class task_story {
public:
  /// The task waits from \p Accepted on.
  task_story(std::uint32_t Index, const timeline_event &Accepted)
      : Index(Index), Accepted(&Accepted) {}
  void add(const timeline_event &Event);

  /// \returns one sentence from the acceptance to the end.
  std::string tell() const;

  std::uint32_t getIndex() const { return Index; }
  /// \returns how long the task waited at the entry, over all placements.
  std::int64_t getEntryWait() const { return EntryWait; }
  /// \returns how long it waited in companions' queues.
  std::int64_t getQueueWait() const { return QueueWait; }
  bool isStarted() const { return Started; }
  /// \returns whether anything but placement, start and result happened to it.
  bool hasTrouble() const { return Trouble; }
  /// \returns the first placement, or nullptr.
  const timeline_event *getFirstPlacement() const { return FirstPlacement; }

private:
  void addPlacement(const timeline_event &Event);
  void addStart(const timeline_event &Event);
  void addTrouble(const timeline_event &Event);

  std::uint32_t Index;
  const timeline_event *Accepted;
  const timeline_event *WaitingSince = nullptr; ///< At the entry, after a
                                                ///< return.
  const timeline_event *FirstPlacement = nullptr;
  const timeline_event *LastPlacement = nullptr;
  const timeline_event *LastEnd = nullptr;
  std::int64_t EntryWait = 0;
  std::int64_t QueueWait = 0;
  bool Started = false;
  bool Trouble = false;
  std::vector<std::string> Clauses;
};

} // namespace crocuswood::timeline
