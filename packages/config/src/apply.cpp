#include <crocuswood/config.h>

#include <utility>

namespace crocuswood::config {

namespace {

// Bound the document, which every process keeps and sends on.
constexpr std::size_t MaxClasses = 1'000;
constexpr std::size_t MaxTeams = 1'000;

// Applies each kind of change to a copy of the configuration.
class change_application {
public:
  explicit change_application(configuration &Target) : Target(Target) {}

  std::string operator()(const set_class &Change) {
    return set(Target.Classes, Change.Class, MaxClasses);
  }
  std::string operator()(const remove_class &Change) {
    return remove(Target.Classes, Change.Name, "No class has this name.");
  }
  std::string operator()(const set_team &Change) {
    return set(Target.Teams, Change.Team, MaxTeams);
  }
  std::string operator()(const remove_team &Change) {
    return remove(Target.Teams, Change.Name, "No team has this name.");
  }

private:
  // \returns an empty text, or why the change can't be applied.
  template <class Spec>
  static std::string set(std::map<std::string, Spec> &Specs, const Spec &Value,
                         std::size_t MaxSpecs) {
    if (!isName(Value.Name)) {
      return "This is not a valid name.";
    }
    if (!Specs.contains(Value.Name) && Specs.size() >= MaxSpecs) {
      return "There are " + std::to_string(MaxSpecs) +
             " already, which is the most.";
    }
    Specs[Value.Name] = Value;
    return {};
  }

  template <class Spec>
  static std::string remove(std::map<std::string, Spec> &Specs,
                            const std::string &Name, const char *Absent) {
    return Specs.erase(Name) == 0 ? Absent : "";
  }

  configuration &Target;
};

} // namespace

checked<configuration> apply(const configuration &Current,
                             const change &Change) {
  configuration Next = Current;
  const std::string Fault =
      std::visit(change_application(Next), Change.Operation);
  if (!Fault.empty()) {
    return findings{{.Source = "change", .Path = "name", .Message = Fault}};
  }
  Next.Revision = Current.Revision + 1;
  Next.ChangeId = Change.Id;
  return Next;
}

} // namespace crocuswood::config
