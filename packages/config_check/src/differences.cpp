#include <crocuswood/config_check.h>

#include <array>
#include <charconv>
#include <utility>

namespace crocuswood::config_check {

namespace {

std::string toText(double Value) {
  constexpr std::size_t Longest = 32;
  std::array<char, Longest> Digits{};
  const auto End =
      std::to_chars(Digits.data(), Digits.data() + Digits.size(), Value).ptr;
  return {Digits.data(), End};
}
std::string toText(std::uint64_t Value) { return std::to_string(Value); }
std::string toText(std::uint32_t Value) { return std::to_string(Value); }
std::string toText(bool Value) { return Value ? "yes" : "no"; }
std::string toText(duration Value) { return formatDuration(Value); }
std::string toText(const std::string &Value) { return "\"" + Value + "\""; }

remark note(const char *Code, std::string Path, std::string Message,
            std::string Effect) {
  return {.Severity = severity::Note,
          .Code = Code,
          .What = {.Path = std::move(Path), .Message = std::move(Message)},
          .Effect = std::move(Effect)};
}

/// Collects what differs between two versions of one thing.
class comparison {
public:
  comparison(std::string Path, remarks &Found)
      : Path(std::move(Path)), Found(Found) {}

  /// \p More and \p Less are the effects of a greater and a smaller value.
  template <class Type>
  void add(const char *Key, const Type &Old, const Type &New, const char *More,
           const char *Less) {
    if (Old != New) {
      Found.push_back(note("changed", Path + "." + Key,
                           std::string(Key) + " changes from " + toText(Old) +
                               " to " + toText(New) + ".",
                           Old < New ? More : Less));
    }
  }
  template <class Type>
  void add(const char *Key, const Type &Old, const Type &New,
           const char *Effect) {
    add(Key, Old, New, Effect, Effect);
  }

private:
  std::string Path;
  remarks &Found;
};

void compareClass(const class_spec &Old, const class_spec &New,
                  remarks &Found) {
  comparison Pair("classes." + New.Name, Found);
  Pair.add("answer_within", Old.AnswerWithin, New.AnswerWithin,
           "Jobs may wait longer before they count as late.",
           "Jobs are refused earlier under load.");
  Pair.add("quantile", Old.Quantile, New.Quantile,
           "More answers have to meet the target.",
           "Fewer answers have to meet the target.");
  Pair.add("refuse_at_most", Old.RefuseAtMost, New.RefuseAtMost,
           "More jobs may be refused under load.",
           "Fewer jobs may be refused under load.");
  Pair.add("idempotent", Old.Idempotent, New.Idempotent,
           "Jobs need no key any more, and tasks may be repeated.",
           "Jobs without an idempotency key are refused.");
  Pair.add("memory_bytes", Old.MemoryBytes, New.MemoryBytes,
           "Fewer tasks fit on an endpoint.", "More tasks fit on an endpoint.");
  Pair.add("accelerators", Old.Accelerators, New.Accelerators,
           "Fewer tasks fit on an endpoint.", "More tasks fit on an endpoint.");
  Pair.add("priority", Old.Priority, New.Priority,
           "Classes with a smaller number go before it.",
           "It goes before classes with a greater number.");
  Pair.add("max_attempts", Old.MaxAttempts, New.MaxAttempts,
           "Failed runs are repeated more often.",
           "Jobs fail after fewer failed runs.");
  Pair.add("run_time_factor", Old.RunTimeFactor, New.RunTimeFactor,
           "Long tasks get more time.", "Long tasks get less time.");
  Pair.add("useful_targets", Old.UsefulTargets, New.UsefulTargets,
           "The time after which jobs are given up as useless changes.");
  Pair.add("pool", Old.Pool, New.Pool, "Other endpoints run the class.");
  Pair.add("host", Old.Host, New.Host,
           "Requests to the old host don't reach the class any more.");
  Pair.add("path_prefix", Old.PathPrefix, New.PathPrefix,
           "Requests to the old path don't reach the class any more.");
}

void compareTeam(const team_spec &Old, const team_spec &New, remarks &Found) {
  const bool Eased = New.TaskStartsPerSecond == 0 ||
                     (Old.TaskStartsPerSecond != 0 &&
                      Old.TaskStartsPerSecond < New.TaskStartsPerSecond);
  comparison("teams." + New.Name, Found)
      .add("task_starts_per_second", Old.TaskStartsPerSecond,
           New.TaskStartsPerSecond,
           Eased ? "The team may start more tasks."
                 : "Jobs of the team above this rate are refused.");
}

template <class Spec, class Function>
void compareAll(const std::map<std::string, Spec> &Old,
                const std::map<std::string, Spec> &New, const char *List,
                const char *Removed, const char *Added, Function Compare,
                remarks &Found) {
  const std::string Prefix = std::string(List) + ".";
  for (const auto &[Name, Value] : Old) {
    if (!New.contains(Name)) {
      Found.push_back(note("removed", List, Name + " is removed.", Removed));
    }
  }
  for (const auto &[Name, Value] : New) {
    const auto Before = Old.find(Name);
    if (Before == Old.end()) {
      Found.push_back(note("added", Prefix + Name, Name + " is new.", Added));
    } else {
      Compare(Before->second, Value, Found);
    }
  }
}

} // namespace

remarks compare(const configuration &Old, const configuration &New) {
  remarks Found;
  compareAll(Old.Classes, New.Classes, "classes", "Its jobs are refused.",
             "Its jobs are accepted where endpoints run them.", compareClass,
             Found);
  compareAll(Old.Teams, New.Teams, "teams", "Its jobs are refused.",
             "Its jobs are accepted.", compareTeam, Found);
  if (!Found.empty() && New.Revision <= Old.Revision) {
    Found.push_back(
        note("old-revision", "revision",
             "Revision " + toText(New.Revision) + " is not greater than " +
                 toText(Old.Revision) + ", which is in force.",
             "A document in the platform's store is ignored with it."));
  }
  return Found;
}

} // namespace crocuswood::config_check
