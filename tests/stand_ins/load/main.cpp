// Stands in for callers: sends jobs to entries and judges the answers.
#include "load/load_generator.h"

#include <iostream>

namespace crocuswood::stand_ins {

namespace {

namespace po = boost::program_options;
using texts = std::vector<std::string>;

po::options_description describeOptions() {
  po::options_description Options("stand_in_load");
  Options.add_options()("help", "show this help")(
      "listen", po::value<std::string>()->default_value("127.0.0.1:0"),
      "IP:PORT that serves GET /summary during the run")(
      "entry", po::value<texts>()->required(),
      "IP:PORT of an entry's callers port; repeat for several")(
      "job", po::value<texts>()->required(),
      "CLASS,team=T[,weight=W][,tasks=N][,run_ms=M][,deadline=D][,fail=SHARE]"
      "[,output_bytes=N][,keys][,declare]; repeat for a mix")(
      "rate", po::value<double>()->default_value(0),
      "jobs a second as a Poisson process; 0 sends the next job after an "
      "answer")("connections", po::value<std::uint32_t>()->default_value(8),
                "connections to each entry")(
      "count", po::value<std::uint64_t>()->default_value(0), "jobs to send")(
      "seconds", po::value<double>()->default_value(0), "time to send for")(
      "resubmit", po::value<std::uint32_t>()->default_value(0),
      "attempts after an answer of not_run")(
      "seed", po::value<std::uint64_t>()->default_value(1),
      "seed of the mix and the arrivals")(
      "time-limit-ms", po::value<std::uint32_t>()->default_value(60'000),
      "longest wait for an answer");
  return Options;
}

load_options readOptions(const po::variables_map &Values) {
  load_options Options{.Rate = Values["rate"].as<double>(),
                       .Connections = Values["connections"].as<std::uint32_t>(),
                       .Count = Values["count"].as<std::uint64_t>(),
                       .Seconds = Values["seconds"].as<double>(),
                       .MaxResubmissions =
                           Values["resubmit"].as<std::uint32_t>(),
                       .Seed = Values["seed"].as<std::uint64_t>(),
                       .TimeLimit = std::chrono::milliseconds(
                           Values["time-limit-ms"].as<std::uint32_t>())};
  for (const std::string &Text : Values["entry"].as<texts>()) {
    Options.Entries.push_back(addressOrExit(Text));
  }
  for (const std::string &Text : Values["job"].as<texts>()) {
    Options.Kinds.push_back(jobKindOrExit(Text));
  }
  return Options;
}

int runLoad(const po::variables_map &Values) {
  boost::asio::io_context Context;
  load_generator Load(Context, readOptions(Values),
                      [&Context] { Context.stop(); });
  http::plain_server Server(
      Context, {},
      [&Load](const http::plain_request &,
              const http::plain_server::respond &Respond) {
        Respond(answer(200, Load.getSummary().write()));
      });
  listenOrExit(Server, Values["listen"].as<std::string>());
  boost::asio::signal_set Signals(Context);
  onStopSignal(Signals, [&Load] { Load.stop(); });
  Load.start();
  Context.run();
  const load_summary Summary = Load.getSummary();
  std::cout << Summary.write() << std::endl;
  return Summary.Mismatched == 0 ? 0 : 1;
}

} // namespace

} // namespace crocuswood::stand_ins

int main(int argc, char **argv) {
  using namespace crocuswood::stand_ins;
  return runLoad(optionsOrExit(argc, argv, describeOptions()));
}
