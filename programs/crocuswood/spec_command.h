/// \file
/// What the commands for classes and teams have in common.
#pragma once

#include "command.h"
#include "command_options.h"
#include "operators_api.h"

#include <optional>
#include <string>
#include <vector>

namespace crocuswood::command_line {

/// Sets, shows, lists and removes one kind of thing in the configuration.
class spec_command : public command {
public:
  exit_code run(const std::vector<std::string> &Arguments,
                run_context &Context) const override;

protected:
  /// \returns the name of its collection in the interface, such as `classes`.
  virtual std::string getCollection() const = 0;
  virtual void addSetOptions(command_options &Options) const = 0;
  /// \returns whether an option of addSetOptions() is given.
  virtual bool hasSetOptions(const option_values &Values) const = 0;
  /// \returns the document of \p Name in \p Current, if there is one.
  virtual std::optional<std::string>
  findDocument(const configuration &Current, const std::string &Name) const = 0;
  /// \returns the document of \p Name after the options in \p Values, or why
  /// it can't be made.
  virtual checked<std::string>
  makeDocument(const configuration &Current, const std::string &Name,
               const option_values &Values) const = 0;
  /// \returns the name and the canonical form of a document by an operator.
  virtual checked<std::pair<std::string, std::string>>
  parseDocument(const std::string &Text, const std::string &Source) const = 0;
  virtual void printTable(const configuration &Current,
                          std::ostream &Out) const = 0;
  virtual std::vector<std::string>
  listDocuments(const configuration &Current) const = 0;

private:
  command_options describeOptions() const;
  exit_code list(const operators_api &Api, const option_values &Values,
                 run_context &Context) const;
  exit_code get(const operators_api &Api, const std::string &Name,
                run_context &Context) const;
  exit_code set(const operators_api &Api, const std::string &Name,
                const option_values &Values, run_context &Context) const;
  exit_code remove(const operators_api &Api, const std::string &Name,
                   const option_values &Values, run_context &Context) const;
  std::variant<std::string, exit_code>
  chooseDocument(const configuration &Current, const std::string &Name,
                 const option_values &Values, run_context &Context) const;
  std::string pathOf(const std::string &Name) const;
};

} // namespace crocuswood::command_line
