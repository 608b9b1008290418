/// \file
/// The way of one job, in sentences.
#pragma once

#include "task_story.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace crocuswood::timeline {

/// Refers to a merged time line, which must outlive it.
class job_story {
public:
  job_story(const std::vector<timeline_event> &Events, const job_id &Job);
  std::vector<std::string> tell();

private:
  void collect();
  void tellBeginning();
  void tellClaim();
  void tellTasks();
  void tellWaiting();
  void tellMeanwhile();
  void tellEnd();
  const timeline_event *find(event_kind Kind) const;
  bool isInvolved(const timeline_event &Event) const;
  std::int64_t countOtherPlacements(const timeline_event &Until) const;

  const std::vector<timeline_event> &Events;
  job_id Job;
  std::vector<const timeline_event *> JobEvents; ///< Those without a task.
  const timeline_event *Begin = nullptr;
  const timeline_event *End = nullptr;
  std::map<std::uint32_t, task_story> Tasks;
  std::set<std::string> Involved; ///< Names of processes and endpoints.
  std::vector<std::string> Sentences;
};

} // namespace crocuswood::timeline
