/// \file
/// Public header of the package replay: steps the real cores through a recorded
/// trace in virtual time, with small fakes for link, endpoint and store.
#pragma once

#include <crocuswood/checker.h>
#include <crocuswood/entry.h>
#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace crocuswood::replay {

struct trace_content;

/// A parsed trace: header, timed inputs and stated outcomes. See
/// docs/TRACES.md.
class trace {
public:
  explicit trace(std::shared_ptr<const trace_content> Content)
      : Content(std::move(Content)) {}
  const trace_content &getContent() const { return *Content; }

private:
  std::shared_ptr<const trace_content> Content;
};

/// One stated outcome, compared.
struct outcome_result {
  std::string Name; ///< As the trace states it.
  std::string Expected;
  std::string Seen;
  bool Passed = false;
};

/// Figures of a run by class.
struct class_figures {
  std::uint64_t Completed = 0;
  std::uint64_t Refused = 0;
  std::uint64_t Failed = 0;
  std::uint64_t Missed = 0;
  double StretchP50 = 0; ///< Response time over the task's own time.
  double StretchP99 = 0;
};

struct run_result {
  std::vector<outcome_result> Outcomes;
  checker::verdict Verdict;
  std::vector<timeline_event> Timeline; ///< Merged.
  std::map<std::string, class_figures> Classes;
  double StretchP50 = 0;
  double StretchP99 = 0;
  double WastedPerTask = 0;
  double Goodput = 0; ///< Share of the capacity that went into answered jobs.
};

struct run_options {
  entry::policy_kind Policy = entry::policy_kind::Crocuswood;
  bool KeepTimeline = true;
};

checked<trace> parse(std::string_view Text, const std::string &Source);

/// Orders in which the bound's single queue serves waiting tasks.
enum class queue_order : std::uint8_t {
  FirstCome,
  EarliestDeadline,
  ShortestFirst,
};

/// \returns the order in snake case.
std::string toString(queue_order Order);

/// Figures of one omniscient queue in place of all entries.
struct bound_result {
  queue_order Order = queue_order::FirstCome; ///< The one with the least p99.
  std::map<std::string, class_figures> Classes;
  double StretchP50 = 0;
  double StretchP99 = 0;
  double Goodput = 0;
};

/// Serves the arrivals of \p Trace from a single queue that sees every slot,
/// knows every run time and pays only the path that cannot be avoided: client,
/// entry, companion and back. Faults and stated outcomes are left out. No real
/// policy can be expected to do better, so figures are read beside it.
bound_result computeBound(const trace &Trace);

/// \returns the text of a small trace with a random schedule of faults. Equal
/// seeds give equal traces.
std::string generate(std::uint64_t Seed);

/// Takes lines out of \p Text as long as \p Fails holds for what is left.
/// Lines that end faults stay. \returns a trace from which no other line can be
/// taken out.
std::string shrink(std::string Text,
                   const std::function<bool(const std::string &)> &Fails);

/// Runs \p Trace. The same trace and options give the same result, byte for
/// byte.
run_result run(const trace &Trace, const run_options &Options);

} // namespace crocuswood::replay
