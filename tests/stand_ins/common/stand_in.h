/// \file
/// What all stand-ins share: options, the line that tells their port, signals.
#pragma once

#include <crocuswood/http.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/program_options.hpp>

#include <functional>
#include <string>
#include <utility>

namespace crocuswood::stand_ins {

/// Parses `IP:PORT`; exits with status 2 if \p Text is something else.
peer_address addressOrExit(const std::string &Text);

/// Parses the command line; prints the help or the fault and exits if there is
/// nothing to run.
boost::program_options::variables_map
optionsOrExit(int argc, char **argv,
              const boost::program_options::options_description &Options);

/// Listens on \p Listen and prints `listening IP:PORT`; exits with status 1 if
/// it can't. \returns the address with its port.
peer_address listenOrExit(http::plain_server &Server,
                          const std::string &Listen);

/// Calls \p Stop on the first SIGTERM or SIGINT.
void onStopSignal(boost::asio::signal_set &Signals, std::function<void()> Stop);

/// \returns an answer with \p Body as JSON.
http::plain_response answer(unsigned Status, std::string Body);

} // namespace crocuswood::stand_ins
