/// \file
/// Builds a visitor for std::visit from lambdas.
#pragma once

namespace crocuswood::daemon {

/// Inherits the call operators of \p Cases.
template <class... Cases> struct overloaded : Cases... {
  using Cases::operator()...;
};

template <class... Cases> overloaded(Cases...) -> overloaded<Cases...>;

} // namespace crocuswood::daemon
