#include "core_implementation.h"

#include <utility>

namespace crocuswood::entry {

core::core(options Options)
    : Impl(std::make_unique<implementation>(std::move(Options))) {}

core::~core() = default;
core::core(core &&) noexcept = default;
core &core::operator=(core &&) noexcept = default;

void core::handle(instant Now, event Event, std::vector<action> &Actions) {
  Impl->handle(Now, std::move(Event), Actions);
}

void core::flush(instant Now, std::vector<action> &Actions) {
  Impl->flush(Now, Actions);
}

status core::getStatus() const { return Impl->getStatus(); }

const configuration &core::getConfiguration() const {
  return Impl->getConfiguration();
}

std::vector<peer_address> core::getEntries() const {
  return Impl->getEntries();
}

} // namespace crocuswood::entry
