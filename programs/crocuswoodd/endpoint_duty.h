/// \file
/// The endpoint's thread of a companion, whatever interface the endpoint has.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>

namespace crocuswood::daemon {

/// Joins the endpoint beside the companion, its announcements and its runs, to
/// the decisions.
class endpoint_duty {
public:
  virtual ~endpoint_duty() = default;
  /// Listens for announcements; to be called before the duty starts.
  virtual checked<std::uint16_t> listen(const peer_address &Address) = 0;
  /// Lets the regular work begin; to be called before the duty starts.
  virtual void start() = 0;
};

} // namespace crocuswood::daemon
