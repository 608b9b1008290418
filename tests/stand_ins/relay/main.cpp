// Relays TCP connections to one target and loses track of them when told to.
#include "common/stand_in.h"
#include "relay/relay_connection.h"

#include <nlohmann/json.hpp>

#include <iostream>
#include <vector>

namespace crocuswood::stand_ins {

namespace {

namespace po = boost::program_options;
using boost::asio::ip::tcp;
using nlohmann::json;

po::options_description describeOptions() {
  po::options_description Options("stand_in_relay");
  Options.add_options()("help", "show this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT of the control: POST /control {\"mode\":M,\"delay_ms\":N} with "
      "the mode silence or cut for the connections now open, or delay for all; "
      "GET /status")("relay",
                     po::value<std::string>()->default_value("127.0.0.1:0"),
                     "IP:PORT that accepts connections")(
      "target", po::value<std::string>()->required(),
      "IP:PORT that they are relayed to");
  return Options;
}

tcp::endpoint toEndpoint(const peer_address &Address) {
  return {boost::asio::ip::make_address(Address.Host), Address.Port};
}

/// Accepts connections and applies the faults.
class relay {
public:
  relay(boost::asio::io_context &Context, const peer_address &Listen,
        const peer_address &To)
      : Acceptor(Context, toEndpoint(Listen)), Target(toEndpoint(To)) {
    acceptNext();
  }

  std::uint16_t getPort() const { return Acceptor.local_endpoint().port(); }

  http::plain_response serve(const http::plain_request &Request) {
    std::erase_if(Open, [](const auto &Each) { return !Each->isOpen(); });
    if (Request.Path == "/status") {
      return answer(200, json{{"open", Open.size()}}.dump());
    }
    const json Root = json::parse(Request.Body, nullptr, false);
    const std::string Mode = Root.is_object() ? Root.value("mode", "") : "";
    if (Mode != "silence" && Mode != "cut" && Mode != "delay") {
      return answer(400, R"({"error":"unknown_mode"})");
    }
    if (Mode == "delay") {
      Delay = std::chrono::milliseconds(Root.value("delay_ms", 0));
    }
    for (const auto &Connection : Open) {
      if (Mode == "silence") {
        Connection->silence();
      } else if (Mode == "cut") {
        Connection->cut();
      } else {
        Connection->delay(Delay);
      }
    }
    return answer(200, "{}");
  }

private:
  void acceptNext() {
    Acceptor.async_accept(
        [this](const boost::system::error_code &Error, tcp::socket Socket) {
          if (!Error) {
            Open.push_back(
                std::make_shared<relay_connection>(std::move(Socket), Delay));
            Open.back()->start(Target);
          }
          acceptNext();
        });
  }

  tcp::acceptor Acceptor;
  tcp::endpoint Target;
  std::chrono::milliseconds Delay{0};
  std::vector<std::shared_ptr<relay_connection>> Open;
};

int runRelay(const po::variables_map &Values) {
  boost::asio::io_context Context;
  const peer_address Listen = addressOrExit(Values["relay"].as<std::string>());
  relay Relay(Context, Listen,
              addressOrExit(Values["target"].as<std::string>()));
  http::plain_server Server(
      Context, {},
      [&Relay](const http::plain_request &Request, const auto &Respond) {
        Respond(Relay.serve(Request));
      });
  std::cout << "relaying " << Listen.Host << ":" << Relay.getPort()
            << std::endl;
  listenOrExit(Server, Values["listen"].as<std::string>());
  boost::asio::signal_set Signals(Context);
  onStopSignal(Signals, [&Context] { Context.stop(); });
  Context.run();
  return 0;
}

} // namespace

} // namespace crocuswood::stand_ins

int main(int argc, char **argv) {
  using namespace crocuswood::stand_ins;
  return runRelay(optionsOrExit(argc, argv, describeOptions()));
}
