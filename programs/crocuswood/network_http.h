/// \file
/// Sends requests over the network.
#pragma once

#include "http_port.h"

namespace crocuswood::command_line {

/// Blocks until every call has ended or its time limit has passed.
class network_http : public http_port {
public:
  std::vector<http::plain_reply>
  sendAll(const std::vector<http_call> &Calls) override;
};

} // namespace crocuswood::command_line
