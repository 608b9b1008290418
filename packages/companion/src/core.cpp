#include "core_implementation.h"

#include <memory>
#include <utility>
#include <variant>
#include <vector>

namespace crocuswood::companion {

core::core(options Options)
    : Impl(std::make_unique<implementation>(std::move(Options))) {}
core::~core() = default;
core::core(core &&) noexcept = default;
core &core::operator=(core &&) noexcept = default;

void core::handle(instant Now, event Event, std::vector<action> &Actions) {
  const step Step{.Now = Now, .Actions = Actions};
  std::visit([&](auto &Taken) { Impl->on(Step, Taken); }, Event);
  Impl->finishEvent(Step);
}

void core::flush(instant Now, std::vector<action> &Actions) {
  Impl->flush(step{.Now = Now, .Actions = Actions});
}

status core::getStatus() const { return Impl->getStatus(); }

const configuration &core::getConfiguration() const {
  return Impl->getConfiguration();
}

} // namespace crocuswood::companion
