/// \file
/// The one place that includes Asio for the daemon.
#pragma once

#include "asio_prelude.h"

#include <boost/asio.hpp>
