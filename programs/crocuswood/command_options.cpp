#include "command_options.h"

#include <ostream>
#include <utility>

namespace crocuswood::command_line {

namespace {

namespace po = boost::program_options;

constexpr const char *OperatorsVariable = "CROCUSWOOD_OPERATORS";

} // namespace

command_options::command_options(std::string Usage, std::string Help)
    : Usage(std::move(Usage)), Help(std::move(Help)) {
  addFlag("help", "Show this help.");
}

void command_options::addOperators() {
  addText("operators",
          "IP:PORT of the operators' port of any entry; by default "
          "from the variable CROCUSWOOD_OPERATORS.");
}

void command_options::addFlag(const char *Name, const char *Description) {
  Visible.add_options()(Name, Description);
}

void command_options::addText(const char *Name, const char *Description) {
  Visible.add_options()(Name, po::value<std::string>(), Description);
}

void command_options::addTexts(const char *Name, const char *Description) {
  Visible.add_options()(Name, po::value<std::vector<std::string>>(),
                        Description);
}

void command_options::addNumber(const char *Name, const char *Description) {
  Visible.add_options()(Name, po::value<double>(), Description);
}

void command_options::addWhole(const char *Name, const char *Description) {
  Visible.add_options()(Name, po::value<std::uint64_t>(), Description);
}

void command_options::setPositional(const char *Name, int Least, int Most) {
  PositionalName = Name;
  LeastPositional = Least;
  MostPositional = Most;
}

std::variant<option_values, exit_code>
command_options::parse(const std::vector<std::string> &Arguments,
                       run_context &Context) const {
  po::options_description All;
  All.add(Visible);
  po::positional_options_description Positional;
  if (!PositionalName.empty()) {
    All.add_options()(PositionalName.c_str(),
                      po::value<std::vector<std::string>>(), "");
    Positional.add(PositionalName.c_str(), MostPositional);
  }
  po::variables_map Map;
  try {
    po::store(po::command_line_parser(Arguments)
                  .options(All)
                  .positional(Positional)
                  .run(),
              Map);
  } catch (const po::error &Error) {
    return reportUsage(Context, Error.what());
  }
  const option_values Values(std::move(Map));
  if (Values.has("help")) {
    Context.Out << "Usage: crocuswood " << Usage << "\n\n"
                << Help << "\n\n"
                << Visible;
    return exit_code::Done;
  }
  const std::size_t Given =
      PositionalName.empty() ? 0
                             : Values.getTexts(PositionalName.c_str()).size();
  if (Given < static_cast<std::size_t>(LeastPositional)) {
    return reportUsage(Context, "An argument is missing.");
  }
  return Values;
}

exit_code command_options::reportUsage(run_context &Context,
                                       const std::string &Message) const {
  Context.Err << "crocuswood: " << Message << "\nUsage: crocuswood " << Usage
              << "\n";
  return exit_code::Usage;
}

std::optional<peer_address>
command_options::findOperators(const option_values &Values,
                               run_context &Context) const {
  std::string Text = Values.getText("operators");
  const auto Variable = Context.Environment.find(OperatorsVariable);
  if (Text.empty() && Variable != Context.Environment.end()) {
    Text = Variable->second;
  }
  if (Text.empty()) {
    reportUsage(Context, "State an entry with --operators IP:PORT.");
    return std::nullopt;
  }
  auto Address = parsePeerAddress(Text);
  if (!Address) {
    reportUsage(Context, "'" + Text + "' is not an address IP:PORT.");
  }
  return Address;
}

} // namespace crocuswood::command_line
