/// \file
/// Options and positional arguments of one command.
#pragma once

#include "exit_code.h"
#include "run_context.h"

#include <crocuswood/model.h>

#include <boost/program_options.hpp>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace crocuswood::command_line {

/// Parsed options, with typed access.
class option_values {
public:
  explicit option_values(boost::program_options::variables_map Values)
      : Values(std::move(Values)) {}

  bool has(const char *Name) const { return Values.count(Name) != 0; }
  /// Only for options that are given or have a default.
  template <class Value> const Value &get(const char *Name) const {
    return Values[Name].as<Value>();
  }
  /// \returns an empty text if \p Name is not given.
  std::string getText(const char *Name) const {
    return has(Name) ? get<std::string>(Name) : std::string();
  }
  /// \returns an empty list if \p Name is not given.
  std::vector<std::string> getTexts(const char *Name) const {
    return has(Name) ? get<std::vector<std::string>>(Name)
                     : std::vector<std::string>();
  }

private:
  boost::program_options::variables_map Values;
};

/// Describes and parses the arguments of one command. `--help` is always there.
class command_options {
public:
  /// \p Usage is the line after `crocuswood`, and \p Help a text below it.
  command_options(std::string Usage, std::string Help);

  /// Adds `--operators`, by default from the environment.
  void addOperators();
  void addFlag(const char *Name, const char *Description);
  void addText(const char *Name, const char *Description);
  /// An option that may be given several times.
  void addTexts(const char *Name, const char *Description);
  void addNumber(const char *Name, const char *Description);
  void addWhole(const char *Name, const char *Description);
  /// Takes positional arguments, at least \p Least and at most \p Most; a
  /// negative \p Most means any number.
  void setPositional(const char *Name, int Least, int Most);

  /// Prints the help or a fault. \returns the code to exit with in these cases.
  std::variant<option_values, exit_code>
  parse(const std::vector<std::string> &Arguments, run_context &Context) const;

  /// Prints \p Message and the usage. \returns the code for it.
  exit_code reportUsage(run_context &Context, const std::string &Message) const;

  /// \returns the address given by `--operators`, or nothing after it printed
  /// why there is none.
  std::optional<peer_address> findOperators(const option_values &Values,
                                            run_context &Context) const;

private:
  std::string Usage;
  std::string Help;
  boost::program_options::options_description Visible{"Options"};
  std::string PositionalName;
  int LeastPositional = 0;
  int MostPositional = 0;
};

} // namespace crocuswood::command_line
