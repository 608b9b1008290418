#include <crocuswood/platform.h>

#include <nlohmann/json.hpp>

#include <algorithm>
#include <utility>

namespace crocuswood::platform {

namespace {

using json = nlohmann::json;

const std::string KeyPrefix = "entries/";

// Rows of entries that are long gone are deleted after this many leases.
constexpr int DeleteAfterLeases = 10;

std::optional<peer_address> getAddress(const json &Document, const char *Name) {
  const auto Member = Document.find(Name);
  if (Member == Document.end() || !Member->is_string()) {
    return std::nullopt;
  }
  return parsePeerAddress(Member->get_ref<const std::string &>());
}

} // namespace

std::string write(const entry_row &Entry) {
  const json Document = {{"incarnation", toString(Entry.Incarnation)},
                         {"links", toString(Entry.Links)},
                         {"operators", toString(Entry.Operators)}};
  return Document.dump();
}

std::optional<entry_row> parseEntryRow(std::string_view Name,
                                       std::string_view Value) {
  const json Document = json::parse(Value, nullptr, false);
  if (!Document.is_object()) {
    return std::nullopt;
  }
  const auto Links = getAddress(Document, "links");
  const auto Operators = getAddress(Document, "operators");
  const auto Life = Document.find("incarnation");
  if (!Links || !Operators || Life == Document.end() || !Life->is_string()) {
    return std::nullopt;
  }
  const auto Incarnation =
      parseIncarnation(Life->get_ref<const std::string &>());
  if (!Incarnation) {
    return std::nullopt;
  }
  return entry_row{.Name = std::string(Name),
                   .Incarnation = *Incarnation,
                   .Links = *Links,
                   .Operators = *Operators};
}

entry_registry::entry_registry(table_service &Table,
                               std::optional<entry_row> Self, duration Lease,
                               changed Changed)
    : Table(Table), Self(std::move(Self)), Lease(Lease),
      Changed(std::move(Changed)) {}

void entry_registry::renew() {
  if (!Self) {
    return;
  }
  // The version of a row changes with its value, so the count makes every
  // renewal visible.
  json Document = json::parse(write(*Self));
  Document["renewals"] = ++Renewals;
  Table.write({{.Key = KeyPrefix + Self->Name, .Value = Document.dump()}},
              [this](const std::vector<write_outcome> &Outcomes) {
                StoreUp = !Outcomes.empty() &&
                          Outcomes.front().Status == store_status::Done;
              });
}

void entry_registry::refresh(std::function<instant()> Now) {
  Table.readRange(KeyPrefix,
                  [this, Now = std::move(Now)](const range_outcome &Outcome) {
                    StoreUp = Outcome.Status == store_status::Done;
                    if (!StoreUp) {
                      return;
                    }
                    take(Outcome.Rows, Now());
                  });
}

void entry_registry::take(const std::vector<row> &Rows, instant Now) {
  std::map<std::string, seen_row> StillSeen;
  std::vector<entry_row> NowLive;
  std::vector<row_write> Deletions;
  for (const row &Row : Rows) {
    const auto Known = Seen.find(Row.Key);
    const bool Renewed =
        Known == Seen.end() || Known->second.Version != Row.Version;
    const instant ChangedAt = Renewed ? Now : Known->second.ChangedAt;
    StillSeen[Row.Key] = {.Version = Row.Version, .ChangedAt = ChangedAt};
    if (Self && Now - ChangedAt > Lease * DeleteAfterLeases) {
      Deletions.push_back(
          {.Key = Row.Key,
           .Condition = {.Kind = write_condition::kind::IfVersion,
                         .Version = Row.Version}});
      continue;
    }
    const auto Entry =
        parseEntryRow(Row.Key.substr(KeyPrefix.size()), Row.Value);
    if (Entry && Now - ChangedAt <= Lease) {
      NowLive.push_back(*Entry);
    }
  }
  Seen = std::move(StillSeen);
  if (!Deletions.empty()) {
    // A failed deletion is tried again at the next refresh.
    Table.write(std::move(Deletions),
                [](const std::vector<write_outcome> &) {});
  }
  if (NowLive != Live) {
    Live = std::move(NowLive);
    Changed(Live);
  }
}

void entry_registry::withdraw(std::function<void()> Done) {
  if (!Self) {
    Done();
    return;
  }
  Table.write(
      {{.Key = KeyPrefix + Self->Name}},
      [Done = std::move(Done)](const std::vector<write_outcome> &) { Done(); });
}

} // namespace crocuswood::platform
