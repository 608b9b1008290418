/// \file
/// The command `class`.
#pragma once

#include "spec_command.h"

namespace crocuswood::command_line {

class class_command : public spec_command {
public:
  std::string getName() const override { return "class"; }
  std::string getSummary() const override {
    return "Classes of work and their targets.";
  }

protected:
  std::string getCollection() const override { return "classes"; }
  void addSetOptions(command_options &Options) const override;
  bool hasSetOptions(const option_values &Values) const override;
  std::optional<std::string>
  findDocument(const configuration &Current,
               const std::string &Name) const override;
  checked<std::string> makeDocument(const configuration &Current,
                                    const std::string &Name,
                                    const option_values &Values) const override;
  checked<std::pair<std::string, std::string>>
  parseDocument(const std::string &Text,
                const std::string &Source) const override;
  void printTable(const configuration &Current,
                  std::ostream &Out) const override;
  std::vector<std::string>
  listDocuments(const configuration &Current) const override;
};

} // namespace crocuswood::command_line
