/// \file
/// Stands in for the platform's table service.
#pragma once

#include "process.h"
#include "trace_content.h"

#include <crocuswood/ports.h>

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace crocuswood::replay {

/// Rows with versions, and the service's faults.
class fake_store {
public:
  fake_store(event_loop &Loop, duration CallTime)
      : Loop(Loop), CallTime(CallTime) {}

  void apply(const store_fault &Fault) { Present = Fault; }
  const store_fault &getFault() const { return Present; }
  event_loop &getLoop() { return Loop; }
  /// \returns how long a call takes now.
  duration getCallTime() const;
  write_outcome write(const row_write &Write);
  read_outcome read(const std::string &Key) const;
  range_outcome readRange(const std::string &Prefix) const;

private:
  event_loop &Loop;
  duration CallTime;
  store_fault Present;
  std::map<std::string, row> Rows;
  std::uint64_t NextVersion = 1;
};

/// One process's client of the store. Answers come within its life only, and
/// unknown ones after the time limit.
class store_client : public table_service {
public:
  store_client(fake_store &Store, process &Owner)
      : Store(Store), Owner(Owner) {}

  void read(const std::string &Key,
            std::function<void(read_outcome)> Done) override;
  void readRange(const std::string &Prefix,
                 std::function<void(range_outcome)> Done) override;
  void write(std::vector<row_write> Writes,
             std::function<void(std::vector<write_outcome>)> Done) override;

private:
  template <class Outcome>
  void call(bool IsWrite, std::function<Outcome()> Take,
            std::function<Outcome(store_status)> MakeFailure,
            std::function<void(Outcome)> Done);

  fake_store &Store;
  process &Owner;
};

} // namespace crocuswood::replay
