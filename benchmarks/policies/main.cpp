// Runs workload traces with every placement policy in virtual time, and beside
// them the bound, and prints response times, wasted messages and misses.
#include <crocuswood/replay.h>

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <array>
#include <exception>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <map>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

namespace {

using namespace crocuswood;
using json = nlohmann::json;
namespace options = boost::program_options;

constexpr int ExitFailed = 1;
constexpr int ExitBadInput = 2;

/// Figures of one policy on one trace.
struct bench_row {
  std::string Trace;
  std::string Policy;
  double P50 = 0;
  double P99 = 0;
  std::optional<double> Wasted; ///< The bound sends no messages.
  double Goodput = 0;
  std::map<std::string, replay::class_figures> Classes;
};

const std::array<std::pair<const char *, entry::policy_kind>, 5> Policies = {{
    {"crocuswood", entry::policy_kind::Crocuswood},
    {"random", entry::policy_kind::Random},
    {"round-robin", entry::policy_kind::RoundRobin},
    {"least-outstanding", entry::policy_kind::LeastOutstanding},
    {"two-choices", entry::policy_kind::TwoChoices},
}};

std::string stemOf(const std::string &Path) {
  const std::size_t Slash = Path.find_last_of('/');
  const std::string Name =
      Slash == std::string::npos ? Path : Path.substr(Slash + 1);
  return Name.substr(0, Name.find_last_of('.'));
}

double shareOf(std::uint64_t Part, const replay::class_figures &Figures) {
  const std::uint64_t All =
      Figures.Completed + Figures.Refused + Figures.Failed;
  return All == 0 ? 0 : static_cast<double>(Part) / static_cast<double>(All);
}

bench_row runPolicy(const replay::trace &Trace, const std::string &Name,
                    const std::pair<const char *, entry::policy_kind> &Policy) {
  const replay::run_result Result =
      replay::run(Trace, {.Policy = Policy.second, .KeepTimeline = false});
  return {.Trace = Name,
          .Policy = Policy.first,
          .P50 = Result.StretchP50,
          .P99 = Result.StretchP99,
          .Wasted = Result.WastedPerTask,
          .Goodput = Result.Goodput,
          .Classes = Result.Classes};
}

bench_row runBound(const replay::trace &Trace, const std::string &Name) {
  const replay::bound_result Result = replay::computeBound(Trace);
  return {.Trace = Name,
          .Policy = "bound",
          .P50 = Result.StretchP50,
          .P99 = Result.StretchP99,
          .Goodput = Result.Goodput,
          .Classes = Result.Classes};
}

std::string sharesOf(const bench_row &Row, bool Refused) {
  std::ostringstream Out;
  Out << std::fixed << std::setprecision(3);
  for (const auto &[Class, Figures] : Row.Classes) {
    const std::uint64_t Part = Refused ? Figures.Refused : Figures.Missed;
    Out << (Out.tellp() == 0 ? "" : " ") << Class << '='
        << shareOf(Part, Figures);
  }
  return Out.str();
}

void print(const bench_row &Row) {
  std::cout << std::left << std::setw(14) << Row.Trace << std::setw(18)
            << Row.Policy << std::right << std::fixed << std::setprecision(3)
            << std::setw(8) << Row.P50 << std::setw(10) << Row.P99;
  if (Row.Wasted) {
    std::cout << std::setw(9) << *Row.Wasted;
  } else {
    std::cout << std::setw(9) << '-';
  }
  std::cout << std::setw(9) << Row.Goodput << "  " << sharesOf(Row, false)
            << " | " << sharesOf(Row, true) << std::endl;
}

json toJson(const bench_row &Row) {
  json Misses = json::object();
  json Refused = json::object();
  for (const auto &[Class, Figures] : Row.Classes) {
    Misses[Class] = shareOf(Figures.Missed, Figures);
    Refused[Class] = shareOf(Figures.Refused, Figures);
  }
  return {{"trace", Row.Trace},
          {"policy", Row.Policy},
          {"p50", Row.P50},
          {"p99", Row.P99},
          {"wasted_per_task", Row.Wasted.value_or(0)},
          {"goodput", Row.Goodput},
          {"misses", Misses},
          {"refused", Refused}};
}

bool runTrace(const std::string &File, const std::string &Only,
              std::vector<bench_row> &Rows) {
  std::ifstream Input(File);
  std::ostringstream Text;
  Text << Input.rdbuf();
  const auto Parsed = replay::parse(Text.str(), File);
  if (const auto *Faults = std::get_if<findings>(&Parsed)) {
    std::cerr << toString(*Faults);
    return false;
  }
  const auto &Trace = std::get<replay::trace>(Parsed);
  const std::string Name = stemOf(File);
  if (Only.empty() || Only == "bound") {
    Rows.push_back(runBound(Trace, Name));
    print(Rows.back());
  }
  for (const auto &Policy : Policies) {
    if (!Only.empty() && Only != Policy.first) {
      continue;
    }
    Rows.push_back(runPolicy(Trace, Name, Policy));
    print(Rows.back());
  }
  return true;
}

int run(int argc, char **argv) {
  std::vector<std::string> Files;
  std::string JsonFile;
  std::string Only;
  options::options_description Described("Options");
  Described.add_options()("trace", options::value(&Files), "trace files")(
      "json", options::value(&JsonFile), "also write the rows as JSON")(
      "policy", options::value(&Only), "run only this policy");
  options::positional_options_description Positions;
  Positions.add("trace", -1);
  options::variables_map Values;
  options::store(options::command_line_parser(argc, argv)
                     .options(Described)
                     .positional(Positions)
                     .run(),
                 Values);
  options::notify(Values);
  std::cout << "trace         policy                 p50       p99   wasted  "
               "goodput  missed by class | refused by class\n";
  std::vector<bench_row> Rows;
  for (const std::string &File : Files) {
    if (!runTrace(File, Only, Rows)) {
      return ExitBadInput;
    }
  }
  if (!JsonFile.empty()) {
    json Document = json::array();
    for (const bench_row &Row : Rows) {
      Document.push_back(toJson(Row));
    }
    std::ofstream(JsonFile) << Document.dump(1) << '\n';
  }
  return 0;
}

} // namespace

int main(int argc, char **argv) {
  try {
    return run(argc, argv);
  } catch (const std::exception &Error) {
    std::cerr << "bench_policies: " << Error.what() << '\n';
    return ExitFailed;
  }
}
