#include <crocuswood/timeline.h>

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace crocuswood;

namespace {

const job_id Job{.Entry = incarnation{1}, .Sequence = 4};

std::string textOf(const std::vector<timeline_event> &Events) {
  std::string Text;
  for (const std::string &Sentence : timeline::explain(Events, Job)) {
    Text += Sentence + "\n";
  }
  return Text;
}

bool contains(const std::string &Text, const char *Part) {
  return Text.find(Part) != std::string::npos;
}

} // namespace

TEST_GROUP(Explain) {
  std::vector<timeline_event> Events;
  std::int64_t Now = 1'700'000'000'000'000;

  timeline_event &add(const char *Process, event_kind Kind,
                      const char *Peer = "") {
    Now += 100;
    Events.push_back({.Kind = Kind,
                      .Time = {.WallMicroseconds = Now},
                      .Process = {.Name = Process},
                      .Peer = Peer});
    return Events.back();
  }
  timeline_event &addJob(event_kind Kind) {
    timeline_event &Event = add("bassano", Kind);
    Event.Job = Job;
    return Event;
  }
  timeline_event &addTask(const char *Process, event_kind Kind,
                          const char *Peer, std::uint32_t Task = 0) {
    timeline_event &Event = add(Process, Kind, Peer);
    Event.Job = Job;
    Event.Task = Task;
    return Event;
  }
  void submit(std::int64_t Tasks) {
    timeline_event &Submitted = addJob(event_kind::JobSubmitted);
    Submitted.Value = Tasks;
    Submitted.Class = "pivot-check";
    Submitted.Team = "valbrenta";
    addJob(event_kind::JobAccepted);
  }
  void teardown() override { Events = {}; }
};

TEST(Explain, TellsTheWayOfAJob) {
  submit(1);
  addTask("bassano", event_kind::TaskPlaced, "c1");
  timeline_event &Returned = addTask("bassano", event_kind::TaskReturned, "c1");
  Returned.Code = "full";
  Now += 50'000;
  addTask("bassano", event_kind::TaskPlaced, "c2");
  addTask("c2", event_kind::TaskStarted, "runner-2");
  add("bassano", event_kind::LinkSilent, "c2");
  add("bassano", event_kind::LinkSilent, "c9");
  addTask("c2", event_kind::TaskEnded, "").Value = 300'000;
  addTask("bassano", event_kind::TaskResultTaken, "c2");
  addJob(event_kind::JobCompleted);
  addJob(event_kind::AnswerSent);
  const std::string Text = textOf(Events);
  CHECK_TRUE(contains(Text, "with 1 task of class pivot-check was submitted by "
                            "team valbrenta to entry bassano at 2023-11-14 "
                            "22:13:20.000100 UTC."));
  CHECK_TRUE(contains(
      Text, "Task 0 waited 100 us at the entry before it was placed on "
            "companion c1, then was given back by companion c1 without a start "
            "(full), then waited 50.1 ms at the entry before it was placed on "
            "companion c2, then started on endpoint runner-2 100 us later, "
            "then ran for 300.0 ms, then its end reached the entry 100 us "
            "later."));
  CHECK_TRUE(contains(Text, "link to c2 is silent"));
  CHECK_FALSE(contains(Text, "link to c9"));
  CHECK_TRUE(contains(Text, "It completed after"));
}

TEST(Explain, TellsWhyAJobWasRefused) {
  addJob(event_kind::JobSubmitted).Key = "sale-1";
  addJob(event_kind::ClaimAsked);
  addJob(event_kind::ClaimUnknown);
  timeline_event &Refused = addJob(event_kind::JobRefused);
  Refused.Code = "store_unavailable";
  Refused.Certainty = "not_run";
  Refused.Reason = "The claim could not be confirmed.";
  const std::string Text = textOf(Events);
  CHECK_TRUE(contains(Text, "The table service gave no usable answer"));
  CHECK_TRUE(contains(Text, "It was refused after 300 us with "
                            "store_unavailable: The claim could not be "
                            "confirmed. None of its tasks has run."));
}

TEST(Explain, SumsUpLargeJobs) {
  submit(1000);
  for (std::uint32_t Task = 0; Task < 1000; ++Task) {
    addTask("bassano", event_kind::TaskPlaced, "c1", Task);
  }
  addTask("bassano", event_kind::TaskUncertain, "c1", 700);
  CHECK_TRUE(timeline::explain(Events, Job).size() < 10);
  CHECK_TRUE(contains(textOf(Events), "may have run on companion c1"));
  CHECK_TRUE(contains(textOf(Events), "No end of the job is known."));
}

TEST(Explain, SaysWhenNothingIsKnown) {
  CHECK_EQUAL(1U, timeline::explain(Events, Job).size());
}

TEST(Explain, DescribesAnEvent) {
  timeline_event &Started = addTask("c1", event_kind::TaskStarted, "runner-1");
  Started.Class = "pivot-check";
  CHECK_EQUAL(std::string("2023-11-14 22:13:20.000100  c1  task 0 of job "
                          "0000000000000001-4: started on endpoint runner-1, "
                          "class pivot-check"),
              timeline::describe(Started));
}

TEST(Explain, TraceHasRowsThatDoNotOverlap) {
  submit(2);
  addTask("c1", event_kind::TaskStarted, "r", 0);
  addTask("c1", event_kind::TaskStarted, "r", 1);
  addTask("c1", event_kind::TaskEnded, "", 0);
  addTask("c1", event_kind::TaskStarted, "r", 2);
  addTask("c1", event_kind::TaskEnded, "", 2);
  addJob(event_kind::JobFailed);
  const std::string Text = timeline::writeTraceEvents(Events);
  CHECK_TRUE(contains(Text, R"("tid":1,"ts":1700000000000300)"));
  CHECK_TRUE(contains(Text, R"("tid":2,"ts":1700000000000400)"));
  CHECK_TRUE(contains(Text, R"("tid":1,"ts":1700000000000600)"));
  CHECK_TRUE(contains(Text, R"({"end":"not known"})"));
}

// Guards against a kind of event that a table by kind has no place for.
TEST(Explain, EveryKindHasANameAndAText) {
  for (std::size_t Number = 0; Number < EventKindCount; ++Number) {
    const auto Kind = static_cast<event_kind>(Number);
    CHECK_TRUE(parseEventKind(toString(Kind)) == Kind);
    CHECK_FALSE(timeline::describe(add("entry-1", Kind)).ends_with("  "));
  }
}
