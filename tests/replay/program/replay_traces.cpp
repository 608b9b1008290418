// Replays traces: `replay_traces FILE...`, or random schedules of faults:
// `replay_traces --random COUNT FIRST_SEED`. A failing random schedule is
// shrunk and printed.
#include <crocuswood/replay.h>

#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <variant>
#include <vector>

using namespace crocuswood;

namespace {

bool passes(const std::string &Text, const std::string &Source, bool Print) {
  const auto Parsed = replay::parse(Text, Source);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    std::cout << (Print ? toString(*Faults) : "");
    return false;
  }
  const replay::run_result Result =
      replay::run(std::get<replay::trace>(Parsed), {.KeepTimeline = false});
  bool Passed = true;
  for (const replay::outcome_result &Outcome : Result.Outcomes) {
    Passed = Passed && Outcome.Passed;
    if (Print) {
      std::cout << (Outcome.Passed ? "passed: " : "FAILED: ") << Outcome.Name
                << ", expected " << Outcome.Expected << ", seen "
                << Outcome.Seen << '\n';
    }
  }
  return Passed;
}

int replayRandom(std::uint64_t Count, std::uint64_t First) {
  std::uint64_t Failed = 0;
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    const std::string Text = replay::generate(Seed);
    if (passes(Text, "random", false)) {
      continue;
    }
    ++Failed;
    const std::string Small =
        replay::shrink(Text, [](const std::string &Shorter) {
          const auto Parsed = replay::parse(Shorter, "random");
          return std::holds_alternative<replay::trace>(Parsed) &&
                 !passes(Shorter, "random", false);
        });
    std::cout << "Seed " << Seed << " failed:\n" << Small;
    passes(Small, "random", true);
  }
  std::cout << Count - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

int replayFiles(const std::vector<std::string> &Names) {
  std::size_t Failed = 0;
  for (const std::string &Name : Names) {
    std::ifstream File(Name);
    std::ostringstream Text;
    Text << File.rdbuf();
    std::cout << Name << '\n';
    Failed += passes(Text.str(), Name, true) ? 0 : 1;
  }
  std::cout << Names.size() - Failed << " passed, " << Failed << " failed\n";
  return Failed == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

} // namespace

int main(int argc, char **argv) {
  const std::vector<std::string> Arguments(argv + 1, argv + argc);
  if (Arguments.size() == 3 && Arguments.front() == "--random") {
    return replayRandom(std::stoull(Arguments[1]), std::stoull(Arguments[2]));
  }
  return replayFiles(Arguments);
}
