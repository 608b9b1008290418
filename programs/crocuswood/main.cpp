// The command line of operators and callers.
#include "local_files.h"
#include "network_http.h"
#include "program.h"

#include <crocuswood/model.h>

#include <cstdlib>
#include <iostream>
#include <random>
#include <thread>

namespace {

using namespace crocuswood;

std::string makeId() {
  std::random_device Source;
  const auto Draw = [&Source] {
    constexpr unsigned HalfBits = 32;
    return (std::uint64_t{Source()} << HalfBits) | Source();
  };
  return toString(incarnation{Draw()}) + toString(incarnation{Draw()});
}

std::map<std::string, std::string> readEnvironment() {
  std::map<std::string, std::string> Environment;
  for (const char *Name : {"CROCUSWOOD_OPERATORS", "CROCUSWOOD_CALLERS"}) {
    if (const char *Value = std::getenv(Name)) {
      Environment[Name] = Value;
    }
  }
  return Environment;
}

} // namespace

int main(int argc, char **argv) {
  command_line::network_http Http;
  command_line::local_files Files;
  command_line::run_context Context{
      .Out = std::cout,
      .Err = std::cerr,
      .Http = Http,
      .Files = Files,
      .Environment = readEnvironment(),
      .MakeId = makeId,
      .Sleep = [](duration Span) { std::this_thread::sleep_for(Span); }};
  const command_line::program Program;
  return static_cast<int>(Program.run({argv + 1, argv + argc}, Context));
}
