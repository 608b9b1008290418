#include <crocuswood/config_check.h>

#include <cctype>
#include <cstddef>
#include <utility>

namespace crocuswood::config_check {

namespace {

// Documents are refused beyond this depth elsewhere.
constexpr int MaxDepth = 64;

/// Walks through JSON and notes where each value begins. It judges nothing: the
/// parser of the document reports faults.
class scanner {
public:
  scanner(std::string_view Text, place_map &Places)
      : Text(Text), Places(Places) {}

  bool scanValue(const std::string &Path, int Depth) {
    skipSpace();
    if (isAtEnd() || Depth > MaxDepth) {
      return false;
    }
    place &Here =
        Places.try_emplace(Path, place{.Line = Line, .Column = Column})
            .first->second;
    if (peek() == '{') {
      return scanMembers(Path, Depth);
    }
    if (peek() == '[') {
      return scanItems(Path, Depth);
    }
    if (peek() == '"') {
      return scanText(Here.Value);
    }
    const std::size_t Begin = Position;
    while (!isAtEnd() && std::string_view(",]} \t\r\n").find(peek()) ==
                             std::string_view::npos) {
      step();
    }
    return Position > Begin;
  }

private:
  bool scanMembers(const std::string &Path, int Depth) {
    step();
    if (take('}')) {
      return true;
    }
    do {
      skipSpace();
      std::string Key;
      if (isAtEnd() || peek() != '"' || !scanText(Key) || !take(':') ||
          !scanValue(Path.empty() ? Key : Path + "." + Key, Depth + 1)) {
        return false;
      }
    } while (take(','));
    return take('}');
  }

  bool scanItems(const std::string &Path, int Depth) {
    step();
    if (take(']')) {
      return true;
    }
    std::size_t Index = 0;
    do {
      if (!scanValue(Path + "[" + std::to_string(Index++) + "]", Depth + 1)) {
        return false;
      }
    } while (take(','));
    return take(']');
  }

  bool scanText(std::string &Value) {
    step();
    while (!isAtEnd() && peek() != '"') {
      if (peek() == '\\') {
        Value += peek();
        step();
      }
      if (!isAtEnd()) {
        Value += peek();
        step();
      }
    }
    if (isAtEnd()) {
      return false;
    }
    step();
    return true;
  }

  bool take(char Expected) {
    skipSpace();
    if (isAtEnd() || peek() != Expected) {
      return false;
    }
    step();
    return true;
  }

  void skipSpace() {
    while (!isAtEnd() &&
           std::isspace(static_cast<unsigned char>(peek())) != 0) {
      step();
    }
  }

  bool isAtEnd() const { return Position >= Text.size(); }
  char peek() const { return Text[Position]; }
  void step() {
    Column = peek() == '\n' ? 1 : Column + 1;
    Line += peek() == '\n' ? 1 : 0;
    ++Position;
  }

  std::string_view Text;
  place_map &Places;
  std::size_t Position = 0;
  std::uint32_t Line = 1;
  std::uint32_t Column = 1;
};

std::string parentOf(const std::string &Path) {
  const std::size_t End = Path.find_last_of(".[");
  return End == std::string::npos ? std::string() : Path.substr(0, End);
}

// `classes.a.priority` is `routes[4].priority` if the item there has the name.
std::string findItem(const std::string &Path,
                     const std::map<std::string, std::string> &Items) {
  const std::size_t Begin = Path.find('.');
  if (Begin == std::string::npos) {
    return Path;
  }
  // Names may contain dots, so the longest one is tried first. The loop ends at
  // Begin, which is a dot.
  for (std::size_t End = Path.size(); End > Begin;
       End = Path.rfind('.', End - 1)) {
    const auto Item = Items.find(Path.substr(0, End));
    if (Item != Items.end()) {
      return Item->second + Path.substr(End);
    }
  }
  return Path;
}

constexpr std::string_view NameEnd = "].name";

bool isBefore(const place &Left, const place &Right) {
  return std::pair(Left.Line, Left.Column) <
         std::pair(Right.Line, Right.Column);
}

/// Paths of items by list and name. Of two routes with one name, the later one
/// counts; the map's order is not that of the document.
std::map<std::string, std::string> mapItems(const place_map &Places) {
  std::map<std::string, std::string> Items;
  for (const auto &[Path, Place] : Places) {
    if (!Path.ends_with(NameEnd)) {
      continue;
    }
    const std::string List = Path.substr(0, Path.find('['));
    const auto [Item, IsFirst] = Items.try_emplace(
        (List == "routes" ? "classes" : List) + "." + Place.Value,
        parentOf(Path));
    if (!IsFirst && isBefore(Places.at(Item->second), Place)) {
      Item->second = parentOf(Path);
    }
  }
  return Items;
}

} // namespace

place_map locate(std::string_view Text) {
  place_map Places;
  scanner(Text, Places).scanValue("", 0);
  return Places;
}

remarks checkRouteNames(const place_map &Places) {
  const auto Items = mapItems(Places);
  remarks Found;
  for (const auto &[Path, Place] : Places) {
    if (!Path.starts_with("routes[") || !Path.ends_with(NameEnd)) {
      continue;
    }
    const auto Last = Items.find("classes." + Place.Value);
    if (Last != Items.end() && Last->second != parentOf(Path)) {
      Found.push_back(
          {.Severity = severity::Warning,
           .Code = "replaced-route",
           .What = {.Path = Path,
                    .Message = Last->second + " has the same name."},
           .Effect = "Only the last route of a name is served."});
    }
  }
  return Found;
}

void setPlaces(remarks &Remarks, const place_map &Places) {
  const auto Items = mapItems(Places);
  for (remark &Remark : Remarks) {
    if (Remark.What.Line != 0) {
      continue;
    }
    std::string Path = findItem(Remark.What.Path, Items);
    auto Found = Places.find(Path);
    while (Found == Places.end() && !Path.empty()) {
      Path = parentOf(Path);
      Found = Places.find(Path);
    }
    if (Found != Places.end()) {
      Remark.What.Line = Found->second.Line;
      Remark.What.Column = Found->second.Column;
    }
  }
}

} // namespace crocuswood::config_check
