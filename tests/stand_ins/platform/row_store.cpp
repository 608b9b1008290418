#include "platform/row_store.h"

namespace crocuswood::stand_ins {

namespace {

constexpr unsigned StatusConflict = 412;

} // namespace

std::string stored_row::getEtag() const {
  return "\"" + std::to_string(Version) + "\"";
}

const stored_row *row_store::find(const std::string &Key) const {
  const auto Found = Rows.find(Key);
  return Found == Rows.end() ? nullptr : &Found->second;
}

std::vector<std::pair<std::string, stored_row>>
row_store::range(const std::string &Prefix) const {
  std::vector<std::pair<std::string, stored_row>> Found;
  for (auto Row = Rows.lower_bound(Prefix);
       Row != Rows.end() && Row->first.starts_with(Prefix); ++Row) {
    Found.emplace_back(*Row);
  }
  return Found;
}

write_result row_store::write(const std::string &Key,
                              std::optional<std::string> Value,
                              const precondition &Condition) {
  if (!holds(find(Key), Condition)) {
    return {.Status = StatusConflict};
  }
  if (!Value) {
    Rows.erase(Key);
    return {};
  }
  stored_row &Row = Rows[Key];
  Row.Value = std::move(*Value);
  Row.Version = ++LastVersion;
  return {.Etag = Row.getEtag()};
}

bool row_store::holds(const stored_row *Row,
                      const precondition &Condition) const {
  if (!Condition.IfNoneMatch.empty() && Row != nullptr) {
    return false;
  }
  if (Condition.IfMatch.empty()) {
    return true;
  }
  return Row != nullptr && Row->getEtag() == Condition.IfMatch;
}

} // namespace crocuswood::stand_ins
