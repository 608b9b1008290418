#include "json_errors.h"

#include <nlohmann/json.hpp>

namespace crocuswood::daemon {

http::plain_response makeError(unsigned Status, const std::string &Code,
                               const std::string &Message,
                               const findings &Faults) {
  nlohmann::json Body = {{"error", Code}, {"message", Message}};
  for (const finding &Fault : Faults) {
    Body["findings"].push_back({{"path", Fault.Path},
                                {"line", Fault.Line},
                                {"column", Fault.Column},
                                {"message", Fault.Message}});
  }
  return {.Status = Status,
          .Body = Body.dump(-1, ' ', false,
                            nlohmann::json::error_handler_t::replace)};
}

} // namespace crocuswood::daemon
