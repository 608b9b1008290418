/// \file
/// The operators' interface of the daemons, with typed results.
#pragma once

#include "exit_code.h"
#include "http_port.h"

#include <crocuswood/model.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::command_line {

/// Why a call has no result.
struct api_failure {
  exit_code Code = exit_code::Failed;
  std::string Message;
};

template <class Value> using api_result = std::variant<Value, api_failure>;

/// A process of the system, as an entry lists it.
struct process_entry {
  std::string Name;
  std::string Role;
  std::string Zone;
  peer_address Operators;
};

/// A change as it is sent to an entry.
struct change_request {
  std::string Method; ///< PUT or DELETE.
  std::string Path;   ///< Such as `/v1/classes/NAME`.
  std::string Body;
  std::string ChangeId;
  std::optional<std::uint64_t> ExpectedRevision;
};

struct change_done {
  std::uint64_t Revision = 0;
};
struct change_in_conflict {
  std::uint64_t CurrentRevision = 0;
};
/// The change may have taken effect.
struct change_uncertain {
  std::string Reason;
};
using change_result = std::variant<change_done, change_in_conflict,
                                   change_uncertain, api_failure>;

/// Talks to one entry and, for what concerns all processes, to each of them.
class operators_api {
public:
  operators_api(http_port &Http, peer_address Entry)
      : Http(Http), Entry(std::move(Entry)) {}

  api_result<configuration> readConfiguration() const;
  /// \returns the processes that this entry or another one that it knows has
  /// heard of, ordered by name.
  api_result<std::vector<process_entry>> listProcesses() const;
  change_result sendChange(const change_request &Change) const;
  /// Sends GET \p Path to every process at the same time. \returns one result
  /// with the body for each process, in order.
  std::vector<api_result<std::string>>
  readFromAll(const std::vector<process_entry> &Processes,
              const std::string &Path,
              const std::map<std::string, std::string> &Query = {}) const;

private:
  api_result<std::string> get(const std::string &Path) const;

  http_port &Http;
  peer_address Entry;
};

} // namespace crocuswood::command_line
