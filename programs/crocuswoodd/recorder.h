/// \file
/// Stamps the events of the time line on the decisions' thread.
#pragma once

#include <crocuswood/model.h>
#include <crocuswood/ports.h>
#include <crocuswood/timeline.h>

#include <vector>

namespace crocuswood::daemon {

/// Fills in time and process of events, in the order of the decisions.
class recorder : public timeline_sink {
public:
  recorder(process_id Self, const clock_port &Clock);

  void record(timeline_event Event) override;
  /// \returns the time to send with a message.
  hybrid_time stamp();
  /// Takes note of the time received with a message.
  void observe(const hybrid_time &Received);
  /// \returns the events since the last call.
  std::vector<timeline_event> takeEvents();

private:
  process_id Self;
  const clock_port &Clock;
  timeline::hybrid_clock Hybrid;
  std::vector<timeline_event> Events;
};

} // namespace crocuswood::daemon
