// Stands in for the platform's table service and object store.
#include "platform/platform_server.h"

int main(int argc, char **argv) {
  using namespace crocuswood::stand_ins;
  namespace po = boost::program_options;
  po::options_description Options("stand_in_platform");
  Options.add_options()("help", "show this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT to serve on");
  const auto Values = optionsOrExit(argc, argv, Options);

  boost::asio::io_context Context;
  platform_server Platform(Context);
  listenOrExit(Platform.getServer(), Values["listen"].as<std::string>());
  boost::asio::signal_set Signals(Context);
  onStopSignal(Signals, [&Context] { Context.stop(); });
  Context.run();
  return 0;
}
