// crocuswoodd: the daemon, in the role of an entry or a companion.
#include "companion_daemon.h"
#include "daemon.h"
#include "entry_daemon.h"
#include "log.h"

#include <crocuswood/settings.h>

#include <boost/program_options.hpp>

#include <csignal>
#include <cstdlib>
#include <exception>
#include <iostream>
#include <optional>
#include <string>

namespace {

using namespace crocuswood;
using namespace crocuswood::daemon;
namespace options = boost::program_options;

struct arguments {
  std::string Role;
  std::string SettingsFile;
};

void printUsage(std::ostream &Out,
                const options::options_description &Described) {
  Out << "Usage: crocuswoodd entry|companion --settings FILE\n" << Described;
}

// Prints what is wrong and returns nothing when the process should end with
// *Exit.
std::optional<arguments> parseArguments(int argc, char **argv, int &Exit) {
  arguments Arguments;
  options::options_description Described("Options");
  Described.add_options()("settings", options::value(&Arguments.SettingsFile),
                          "YAML settings of this process")("help",
                                                           "show this text");
  options::options_description All;
  All.add(Described).add_options()("role", options::value(&Arguments.Role));
  options::positional_options_description Positions;
  Positions.add("role", 1);
  options::variables_map Values;
  try {
    options::store(options::command_line_parser(argc, argv)
                       .options(All)
                       .positional(Positions)
                       .run(),
                   Values);
    options::notify(Values);
  } catch (const options::error &Error) {
    std::cerr << "crocuswoodd: " << Error.what() << '\n';
    Exit = ExitBadInput;
    return std::nullopt;
  }
  if (Values.count("help") != 0) {
    printUsage(std::cout, Described);
    Exit = ExitDone;
    return std::nullopt;
  }
  if ((Arguments.Role != "entry" && Arguments.Role != "companion") ||
      Arguments.SettingsFile.empty()) {
    printUsage(std::cerr, Described);
    Exit = ExitBadInput;
    return std::nullopt;
  }
  return Arguments;
}

template <class Settings, class Run>
int runWith(const checked<Settings> &Parsed, const std::string &SettingsFile,
            process_signals &Signals, Run RunRole) {
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    std::cerr << toString(*Faults);
    return ExitBadInput;
  }
  const auto &Valid = std::get<Settings>(Parsed);
  setUpLog(Valid.Process.Log);
  return RunRole(Valid, SettingsFile, Signals);
}

int run(int argc, char **argv) {
  int Exit = ExitDone;
  const std::optional<arguments> Arguments = parseArguments(argc, argv, Exit);
  if (!Arguments) {
    return Exit;
  }
  const std::optional<std::string> Text = readFile(Arguments->SettingsFile);
  if (!Text) {
    std::cerr << Arguments->SettingsFile << ": cannot be read\n";
    return ExitBadInput;
  }
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  // Static, so that the handlers last until quick_exit().
  static process_signals Signals;
  if (Arguments->Role == "entry") {
    return runWith(settings::parseEntry(*Text, Arguments->SettingsFile),
                   Arguments->SettingsFile, Signals, runEntry);
  }
  return runWith(settings::parseCompanion(*Text, Arguments->SettingsFile),
                 Arguments->SettingsFile, Signals, runCompanion);
}

} // namespace

int main(int argc, char **argv) {
  int Exit = ExitFailed;
  try {
    Exit = run(argc, argv);
  } catch (const std::exception &Error) {
    std::cerr << "crocuswoodd: " << Error.what() << '\n';
  }
  // The logging library's own end joins threads that it keeps for itself and
  // may not return within the time of a planned stop. Nothing is left to do.
  std::cout.flush();
  std::quick_exit(Exit);
}
