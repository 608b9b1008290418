/// \file
/// Identities of processes, jobs, tasks, links and callers' requests.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>

namespace crocuswood {

/// A number drawn at random when a process starts. It tells two lives of one
/// process apart.
enum class incarnation : std::uint64_t {};

/// A process of the system: its name from the settings and its incarnation.
struct process_id {
  std::string Name;
  incarnation Incarnation{};

  friend bool operator==(const process_id &, const process_id &) = default;
  friend std::strong_ordering operator<=>(const process_id &Left,
                                          const process_id &Right) {
    return std::tie(Left.Name, Left.Incarnation) <=>
           std::tie(Right.Name, Right.Incarnation);
  }
};

/// A job, unique over all entries and all their incarnations.
struct job_id {
  incarnation Entry{};
  std::uint64_t Sequence = 0;

  friend bool operator==(const job_id &, const job_id &) = default;
  friend std::strong_ordering operator<=>(const job_id &Left,
                                          const job_id &Right) {
    return std::tie(Left.Entry, Left.Sequence) <=>
           std::tie(Right.Entry, Right.Sequence);
  }
};

/// One task of a job. `Index` is its position in the request.
struct task_id {
  job_id Job;
  std::uint32_t Index = 0;

  friend bool operator==(const task_id &, const task_id &) = default;
  friend std::strong_ordering operator<=>(const task_id &Left,
                                          const task_id &Right) {
    return std::tie(Left.Job, Left.Index) <=> std::tie(Right.Job, Right.Index);
  }
};

/// One run of a task as a leased endpoint knows it.
struct run_id {
  std::string Job;           ///< Name of the job towards the endpoint.
  std::uint32_t Task = 0;    ///< Position of the task in the job.
  std::uint32_t Attempt = 1; ///< Grows with every start of the task.

  friend bool operator==(const run_id &, const run_id &) = default;
  friend std::strong_ordering operator<=>(const run_id &Left,
                                          const run_id &Right) {
    return std::tie(Left.Job, Left.Task, Left.Attempt) <=>
           std::tie(Right.Job, Right.Task, Right.Attempt);
  }
};

/// A connection to a peer process. Numbers are never used twice within one
/// process.
enum class link_id : std::uint64_t {};

/// A request of a caller or operator that waits for its answer, within one
/// process.
enum class request_id : std::uint64_t {};

/// \returns sixteen hexadecimal digits.
std::string toString(incarnation Value);
/// \returns `INCARNATION-SEQUENCE`, as accepted by parseJobId().
std::string toString(const job_id &Value);
/// \returns `INCARNATION-SEQUENCE.INDEX`, as accepted by parseTaskId().
std::string toString(const task_id &Value);
/// \returns `JOB.TASK#ATTEMPT`.
std::string toString(const run_id &Value);

/// \returns nothing if \p Text is not what toString() writes.
std::optional<incarnation> parseIncarnation(std::string_view Text);
std::optional<job_id> parseJobId(std::string_view Text);
std::optional<task_id> parseTaskId(std::string_view Text);

/// Mixes the parts of an id into one hash value.
std::size_t hashValue(const job_id &Value) noexcept;
std::size_t hashValue(const task_id &Value) noexcept;

} // namespace crocuswood

template <> struct std::hash<crocuswood::job_id> {
  std::size_t operator()(const crocuswood::job_id &Value) const noexcept {
    return crocuswood::hashValue(Value);
  }
};

template <> struct std::hash<crocuswood::task_id> {
  std::size_t operator()(const crocuswood::task_id &Value) const noexcept {
    return crocuswood::hashValue(Value);
  }
};
