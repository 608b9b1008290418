/// \file
/// Virtual time.
#pragma once

#include <crocuswood/model.h>

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace crocuswood::replay {

/// Runs work in the order of time, then in the order of asking.
class event_loop {
public:
  instant getNow() const { return Now; }
  void at(instant When, std::function<void()> Work) {
    Pending.push({When < Now ? Now : When, NextNumber++, std::move(Work)});
  }
  void after(duration Span, std::function<void()> Work) {
    at(Now + Span, std::move(Work));
  }
  /// Runs until \p End, or until \p Finished says so.
  void run(instant End, const std::function<bool()> &Finished) {
    while (!Pending.empty() && Pending.top().When <= End && !Finished()) {
      const auto Work = std::move(Pending.top().Work);
      Now = Pending.top().When;
      Pending.pop();
      Work();
    }
    if (!Finished()) {
      Now = End;
    }
  }

private:
  struct item {
    instant When;
    std::uint64_t Number;
    mutable std::function<void()> Work; ///< Moved out of the queue's top.

    bool operator<(const item &Other) const {
      return std::pair(Other.When, Other.Number) < std::pair(When, Number);
    }
  };

  std::priority_queue<item> Pending;
  std::uint64_t NextNumber = 0;
  instant Now;
};

} // namespace crocuswood::replay
