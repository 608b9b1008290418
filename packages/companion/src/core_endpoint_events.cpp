// What the core does with the news of its endpoint and of the runs there.
#include "core_implementation.h"

#include <utility>

namespace crocuswood::companion {

void core::implementation::on(const step &Step,
                              const endpoint_announced &Event) {
  if (Endpoint.announce(Step, Event.Announcement)) {
    reportEndpoint(Step, not_started_reason::Leaving);
  }
}

void core::implementation::reportEndpoint(const step &Step,
                                          not_started_reason Reason) {
  for (auto &[Id, Peer] : Entries.getPeers()) {
    // What was confirmed was an earlier report.
    Peer.LeavingSeen = false;
  }
  Desk.recountRuns();
  const endpoint_report Report = Endpoint.getReport();
  Links.broadcast(Report);
  if (Report.State != endpoint_state::Serving) {
    Desk.giveBackQueued(Step, Reason);
  } else {
    Desk.giveBackUnsupported(Step);
  }
}

void core::implementation::on(const step &Step, run_completed &Event) {
  Desk.endRun(Step, Event.Task, [&Event](const ended_run &Run) {
    return task_completed{.Output = std::move(Event.Output),
                          .RunTime = Run.RunTime};
  });
  FreeSlots.report(Event.Task.Job.Entry);
}

void core::implementation::on(const step &Step, run_failed &Event) {
  Desk.endRun(Step, Event.Task, [&Event](const ended_run &Run) {
    return task_failed{.Reason = std::move(Event.Reason),
                       .RunTime = Run.RunTime};
  });
  FreeSlots.report(Event.Task.Job.Entry);
}

void core::implementation::on(const step &Step, const run_not_reached &Event) {
  Desk.endRun(Step, Event.Task, [](const ended_run & /*Run*/) {
    return task_not_started{.Reason = not_started_reason::Unreachable};
  });
  if (Endpoint.suspend(Step, Event.Reason)) {
    reportEndpoint(Step, not_started_reason::Unreachable);
  }
}

void core::implementation::on(const step &Step, run_lost &Event) {
  Desk.endRun(Step, Event.Task, [&Event](const ended_run & /*Run*/) {
    return task_lost{.Reason = std::move(Event.Reason)};
  });
  FreeSlots.report(Event.Task.Job.Entry);
}

void core::implementation::on(const step &Step, run_stopped &Event) {
  Desk.endRun(Step, Event.Task, [&Event](const ended_run &Run) {
    return task_stopped{.Reason = std::move(Event.Reason),
                        .RunTime = Run.RunTime,
                        .Overdue = Run.Overdue};
  });
  FreeSlots.report(Event.Task.Job.Entry);
}

void core::implementation::on(const step &Step, run_refused &Event) {
  Desk.endRun(
      Step, Event.Task,
      [](const ended_run & /*Run*/) {
        return task_not_started{.Reason = not_started_reason::Refused};
      },
      Event.Reason);
  FreeSlots.report(Event.Task.Job.Entry);
}

void core::implementation::on(const step & /*Step*/,
                              const endpoint_settled & /*Event*/) {
  EndpointSettled = true;
  if (Options.AwaitEndpoint) {
    Links.startDialling();
  }
}

void core::implementation::on(const step &Step, const endpoint_silent &Event) {
  if (Endpoint.suspend(Step, Event.Reason)) {
    reportEndpoint(Step, not_started_reason::Unreachable);
  }
}

void core::implementation::on(const step &Step, endpoint_crashed &Event) {
  const crash_report Counted = Crashes.count(Step, Endpoint.getName(), Event);
  if (!Counted.Tasks.empty()) {
    Links.broadcast(Counted);
  }
}

void core::implementation::on(const step &Step,
                              const endpoint_restarted &Event) {
  timeline_event Line =
      makeEvent(event_kind::EndpointRestarted, Endpoint.getName());
  Line.Reason = Event.From.empty()
                    ? "life " + Event.To + " is the first"
                    : "life " + Event.To + " follows " + Event.From;
  Line.Value = Event.EndedRuns;
  Step.record(std::move(Line));
  Desk.forgetSpeed();
}

void core::implementation::on(const step &Step,
                              const announcement_ignored &Event) {
  timeline_event Line = makeEvent(event_kind::AnnouncementIgnored, Event.Name);
  Line.Reason = Event.Reason;
  Step.record(std::move(Line));
}

void core::implementation::on(const step &Step, const lease_withheld &Event) {
  timeline_event Line =
      makeEvent(event_kind::LeaseWithheld, Endpoint.getName());
  Line.Reason = Event.Reason;
  Line.Value = Event.Runs;
  Step.record(std::move(Line));
}

void core::implementation::on(const step &Step, const unknown_runs &Event) {
  timeline_event Line = makeEvent(event_kind::UnknownRuns, Endpoint.getName());
  Line.Reason = Event.First;
  Line.Value = Event.Count;
  Step.record(std::move(Line));
}

} // namespace crocuswood::companion
