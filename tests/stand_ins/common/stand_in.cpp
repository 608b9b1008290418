#include "common/stand_in.h"

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace crocuswood::stand_ins {

namespace {

constexpr int ExitUsage = 2;
constexpr int ExitFailure = 1;

[[noreturn]] void exitWith(int Status, const std::string &Message) {
  std::cerr << Message << '\n';
  std::exit(Status);
}

} // namespace

peer_address addressOrExit(const std::string &Text) {
  if (const auto Address = parsePeerAddress(Text)) {
    return *Address;
  }
  exitWith(ExitUsage, "not an address: " + Text);
}

boost::program_options::variables_map
optionsOrExit(int argc, char **argv,
              const boost::program_options::options_description &Options) {
  namespace po = boost::program_options;
  po::variables_map Values;
  try {
    po::store(po::parse_command_line(argc, argv, Options), Values);
    if (Values.count("help") != 0) {
      std::cout << Options << '\n';
      std::exit(0);
    }
    po::notify(Values);
  } catch (const po::error &Error) {
    exitWith(ExitUsage, Error.what());
  }
  return Values;
}

peer_address listenOrExit(http::plain_server &Server,
                          const std::string &Listen) {
  peer_address Address = addressOrExit(Listen);
  const auto Port = Server.listen(Address);
  if (const auto *Findings = std::get_if<findings>(&Port)) {
    exitWith(ExitFailure, toString(*Findings));
  }
  Address.Port = std::get<std::uint16_t>(Port);
  std::cout << "listening " << crocuswood::toString(Address) << std::endl;
  return Address;
}

void onStopSignal(boost::asio::signal_set &Signals,
                  std::function<void()> Stop) {
  Signals.add(SIGTERM);
  Signals.add(SIGINT);
  Signals.async_wait(
      [Stop = std::move(Stop)](const boost::system::error_code &Error, int) {
        if (!Error) {
          Stop();
        }
      });
}

http::plain_response answer(unsigned Status, std::string Body) {
  return {.Status = Status, .Body = std::move(Body)};
}

} // namespace crocuswood::stand_ins
