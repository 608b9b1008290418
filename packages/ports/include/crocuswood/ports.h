/// \file
/// Public header of the package ports: interfaces between the decision cores'
/// duties and the adapters that talk to the outside. Every call is made on the
/// owning duty's thread, and callbacks come back on that thread.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace crocuswood {

/// Source of time for a process.
class clock_port {
public:
  virtual ~clock_port() = default;
  /// \returns time that never goes back; starts near the wall clock.
  virtual instant now() const = 0;
  /// \returns microseconds since the Unix epoch; may jump.
  virtual std::int64_t wallMicroseconds() const = 0;
};

/// Receives what happens on links.
class link_events {
public:
  virtual ~link_events() = default;
  virtual void linkOpened(link_id Link, const peer_address &Remote) = 0;
  /// \p Envelope has arrived. Undecodable input closes the link instead.
  virtual void envelopeReceived(link_id Link, peer_envelope Envelope) = 0;
  /// The link is gone, or a dial has failed. No further event names \p Link.
  virtual void linkClosed(link_id Link, const std::string &Reason) = 0;
};

/// Sends over links.
class link_port {
public:
  virtual ~link_port() = default;
  /// Opens a link to \p Remote under the id \p Link, chosen by the caller. Ends
  /// in linkOpened() or linkClosed().
  virtual void dial(link_id Link, const peer_address &Remote) = 0;
  /// Writes \p Envelope. Unknown links are ignored: their linkClosed() is on
  /// its way.
  virtual void send(link_id Link, const peer_envelope &Envelope) = 0;
  /// Closes at once. linkClosed() does not follow.
  virtual void close(link_id Link) = 0;
};

/// How a call to the platform ended.
enum class store_status : std::uint8_t {
  Done,     ///< It took effect, or the row was read.
  Conflict, ///< The condition did not hold; nothing changed.
  Refused,  ///< The service refused it; nothing changed.
  Unknown,  ///< No usable answer: it may or may not have taken effect.
};

/// Condition of a write.
struct write_condition {
  enum class kind : std::uint8_t { Always, IfAbsent, IfVersion };
  kind Kind = kind::Always;
  std::string Version; ///< For IfVersion: as read before.

  friend bool operator==(const write_condition &,
                         const write_condition &) = default;
};

/// One conditional write of a row.
struct row_write {
  std::string Key;                  ///< Table and row, such as `claims/KEY`.
  std::optional<std::string> Value; ///< Nothing deletes the row.
  write_condition Condition;

  friend bool operator==(const row_write &, const row_write &) = default;
};

/// A row and its version.
struct row {
  std::string Key;
  std::string Value;
  std::string Version;

  friend bool operator==(const row &, const row &) = default;
};

/// Done with an empty `Row` means that the row does not exist.
struct read_outcome {
  store_status Status = store_status::Unknown;
  std::optional<row> Row;
};

struct range_outcome {
  store_status Status = store_status::Unknown;
  std::vector<row> Rows; ///< Ordered by key.
  /// Of the whole store at the read, where the service tells it.
  std::string Version;
  std::uint32_t Unreadable = 0; ///< Rows that are left out.
};

struct write_outcome {
  store_status Status = store_status::Unknown;
  std::string Version; ///< Of the row after the write, when Done.
};

/// The platform's transactional table service. Every call ends within its time
/// limit.
class table_service {
public:
  virtual ~table_service() = default;
  virtual void read(const std::string &Key,
                    std::function<void(read_outcome)> Done) = 0;
  virtual void readRange(const std::string &Prefix,
                         std::function<void(range_outcome)> Done) = 0;
  /// Applies each write by itself; one request to the service for all of them.
  /// \p Done gets one outcome for each write, in order.
  virtual void write(std::vector<row_write> Writes,
                     std::function<void(std::vector<write_outcome>)> Done) = 0;
};

/// Reads rows by their keys' order.
class key_range_reader {
public:
  virtual ~key_range_reader() = default;
  /// Reads the keys and versions of the rows from \p From on that come before
  /// \p To; their values are left empty.
  virtual void readKeys(const std::string &From, const std::string &To,
                        std::function<void(range_outcome)> Done) = 0;
};

/// The platform's object store.
class object_store {
public:
  virtual ~object_store() = default;
  virtual void put(const std::string &Name, std::string Bytes,
                   std::function<void(store_status)> Done) = 0;
  virtual void
  get(const std::string &Name,
      std::function<void(store_status, std::optional<std::string>)> Done) = 0;
};

/// A task as it is handed to an endpoint.
struct endpoint_call {
  task_id Task;
  std::string Class;
  payload Input;
};

/// How a call to an endpoint ended.
struct endpoint_completed {
  payload Output;
};
/// The endpoint answered that the task failed.
struct endpoint_failed {
  std::string Reason;
};
/// Nothing was written to the endpoint, so the task has not run.
struct endpoint_not_reached {
  std::string Reason;
};
/// The connection was lost after the call had been written.
struct endpoint_lost {
  std::string Reason;
};
using endpoint_outcome = std::variant<endpoint_completed, endpoint_failed,
                                      endpoint_not_reached, endpoint_lost>;

/// Runs tasks on the endpoint beside a companion.
class endpoint_port {
public:
  virtual ~endpoint_port() = default;
  virtual void run(const peer_address &Endpoint, endpoint_call Call,
                   std::function<void(endpoint_outcome)> Done) = 0;
  /// Asks the endpoint to stop \p Task. The end still comes through run()'s
  /// callback.
  virtual void stop(const peer_address &Endpoint, const task_id &Task) = 0;
};

// Leased endpoints start and stop runs by order, list them, and end every run
// whose lease is not renewed.

/// Orders a leased endpoint to start a run.
struct start_order {
  run_id Run;
  payload Input;
  std::string Life; ///< Of the endpoint that is meant.
  /// Name under which that life has announced itself. An endpoint of another
  /// name refuses; a later life under the same name does not.
  std::string Instance;
  duration Lease{};  ///< For everything on the endpoint, from DecidedAt on.
  instant DecidedAt; ///< On the clock_port of the process.
  /// An endpoint refuses orders whose number is smaller than one that it has
  /// seen in its life.
  std::uint64_t Fence = 0;
  /// How long the answer is waited for. Nothing is the port's usual time.
  std::optional<duration> Limit;

  friend bool operator==(const start_order &, const start_order &) = default;
};

/// Orders a leased endpoint to stop a run. A run that has not begun is barred
/// from beginning.
struct stop_order {
  run_id Run;
  std::string Instance;          ///< As in start_order; empty for any.
  std::uint64_t Fence = 0;       ///< As in start_order.
  std::optional<duration> Limit; ///< As in start_order.

  friend bool operator==(const stop_order &, const stop_order &) = default;
};

/// How an order to a leased endpoint ended.
enum class order_status : std::uint8_t {
  Done,       ///< Carried out.
  Refused,    ///< Not carried out, and never will be.
  NotReached, ///< Nothing was written to the endpoint.
  Unknown,    ///< No usable answer; it may be carried out even later.
};
struct order_outcome {
  order_status Status = order_status::Unknown;
  std::string Reason; ///< Unless Done.
  /// Refused since the endpoint has seen a greater fence.
  bool IsFenced = false;
};

/// Asks for the runs of an endpoint, and may renew the lease of all of them.
struct list_request {
  std::uint64_t Acknowledged = 0; ///< Ends up to this number may be forgotten.
  std::optional<duration> Lease;  ///< From DecidedAt on; nothing renews none.
  instant DecidedAt;              ///< As in start_order.
  duration Wait{}; ///< The endpoint answers by then, or at the next end.
  std::uint64_t Fence = 0;       ///< As in start_order.
  std::optional<duration> Limit; ///< As in start_order, beyond Wait.

  friend bool operator==(const list_request &, const list_request &) = default;
};

/// How a run ended.
enum class run_result : std::uint8_t {
  Completed,
  Failed,
  Stopped, ///< By an order.
  Lapsed,  ///< Its lease was not renewed.
};
struct listed_end {
  std::uint64_t Number = 0; ///< Grows from 1 within a life of the endpoint.
  run_id Run;
  run_result Result = run_result::Completed;

  friend bool operator==(const listed_end &, const listed_end &) = default;
};
struct run_list {
  std::string Life; ///< Of the endpoint that answered.
  std::vector<run_id> Active;
  std::vector<listed_end> Ended; ///< Not acknowledged yet, by number.
  /// Runs are active that it doesn't show, such as those in entries that can't
  /// be read.
  bool LeavesOutRuns = false;
  /// The same of ends: there may be more than one list holds.
  bool LeavesOutEnds = false;

  friend bool operator==(const run_list &, const run_list &) = default;
};
/// Why a listing has no usable answer.
enum class list_failure : std::uint8_t {
  NoAnswer,
  Refused, ///< The connection was: probably no process listens.
  Fenced,  ///< The endpoint has seen a greater fence.
};
using list_outcome = std::variant<run_list, list_failure>;

/// Gives orders to the leased endpoint beside this process.
class leased_endpoint {
public:
  virtual ~leased_endpoint() = default;
  virtual void start(start_order Order,
                     std::function<void(order_outcome)> Done) = 0;
  virtual void stop(const stop_order &Order,
                    std::function<void(order_outcome)> Done) = 0;
  virtual void list(list_request Request,
                    std::function<void(list_outcome)> Done) = 0;
};

/// Serves callers in the manner of one interface.
class caller_port {
public:
  virtual ~caller_port() = default;
  virtual checked<std::uint16_t> listen(const peer_address &Address) = 0;
  /// Writes the answer of \p Request. Unknown requests are ignored: their
  /// caller is gone. \returns whether a caller was still there.
  virtual bool answer(request_id Request, const job_answer &Answer) = 0;
  /// Takes the classes that callers may address from now on.
  virtual void setConfiguration(const configuration &Configuration) = 0;
  /// Asks callers to close their connections with the next answer.
  virtual void announceStop() = 0;
  /// Whether answers close their connections, so that callers reconnect by way
  /// of the balancer.
  virtual void steerCallers(bool Away) = 0;
  /// Closes the connections on which no request waits. Their callers learn
  /// before their next job that they have to go to another entry.
  virtual void closeIdle() = 0;
  /// Reports the callers that have left by now, also where the end of their
  /// connection waits behind other input.
  virtual void checkCallers() = 0;
  /// Accepts no connection and no job any more.
  virtual void stopAccepting() = 0;
  /// Calls \p Done when every answer has been written and every connection is
  /// closed.
  virtual void drain(std::function<void()> Done) = 0;
};

/// Receives what callers ask for.
class caller_events {
public:
  virtual ~caller_events() = default;
  /// \returns false when the decisions can't take it now; the caller is told
  /// `not_run`.
  virtual bool jobSubmitted(request_id Request, job_request Job) = 0;
  /// The caller has cancelled the job or closed its connection.
  virtual void jobCancelled(request_id Request, bool CallerGone) = 0;
  /// A connection has ended with \p Bytes that came after its last answer or
  /// were read only after the caller had left.
  virtual void inputDropped(std::uint64_t Bytes) = 0;
};

/// Receives the events of the time line.
class timeline_sink {
public:
  virtual ~timeline_sink() = default;
  /// Fills in time and process, and keeps \p Event.
  virtual void record(timeline_event Event) = 0;
};

} // namespace crocuswood
