/// \file
/// Headers that Asio of Boost 1.74 uses without including them.
#pragma once

#include <utility>
