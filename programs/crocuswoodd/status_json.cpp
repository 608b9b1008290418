#include "status_json.h"

#include "overloaded.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>

namespace crocuswood::daemon {

namespace {

using json = nlohmann::json;

const char *toString(endpoint_state State) {
  constexpr std::array<const char *, 3> Names = {"absent", "serving",
                                                 "leaving"};
  return Names.at(static_cast<std::size_t>(State));
}

json toJson(const endpoint_report &Report) {
  return {{"state", toString(Report.State)},
          {"classes", Report.Classes},
          {"slots", Report.Slots},
          {"memory_bytes", Report.MemoryBytes},
          {"accelerators", Report.Accelerators}};
}

json toJson(const evacuation::state &State) {
  return {{"store_version", State.Version}, {"zones", State.Zones}};
}

json toJson(const companion_load &Load) {
  return {{"running", Load.Running}, {"queued", Load.Queued}};
}

json toJson(const entry::class_status &Class) {
  return {
      {"accepted", Class.Accepted},       {"refused", Class.Refused},
      {"completed", Class.Completed},     {"failed", Class.Failed},
      {"missed", Class.Missed},           {"waiting_tasks", Class.WaitingTasks},
      {"placed_tasks", Class.PlacedTasks}};
}

json toJson(const entry::companion_status &Companion) {
  return {{"name", Companion.Name},
          {"zone", Companion.Zone},
          {"operators", crocuswood::toString(Companion.Operators)},
          {"linked", Companion.Linked},
          {"set_aside", Companion.SetAside},
          {"endpoint", toJson(Companion.Endpoint)},
          {"load", toJson(Companion.Load)},
          {"outstanding", Companion.Outstanding},
          {"cold", Companion.Cold}};
}

json toJson(const entry::interference_status &Pair) {
  return {{"class", Pair.Class},       {"neighbour", Pair.Neighbour},
          {"slowdown", Pair.Slowdown}, {"lower", Pair.Lower},
          {"upper", Pair.Upper},       {"runs", Pair.Runs},
          {"believed", Pair.Believed}};
}

json toJson(const entry::status &Status) {
  json Document = {{"role", "entry"},
                   {"ready", Status.Ready},
                   {"stopping", Status.Stopping},
                   {"configuration_revision", Status.ConfigurationRevision},
                   {"messages",
                    {{"sent", Status.SentMessages},
                     {"received", Status.ReceivedMessages},
                     {"wasted", Status.WastedMessages},
                     {"heartbeats", Status.Heartbeats}}},
                   {"class_visits", Status.ClassVisits},
                   {"evacuation", toJson(Status.Evacuation)},
                   {"classes", json::object()},
                   {"companions", json::array()},
                   {"interference", json::array()}};
  for (const auto &[Name, Class] : Status.Classes) {
    Document["classes"][Name] = toJson(Class);
  }
  for (const entry::companion_status &Companion : Status.Companions) {
    Document["companions"].push_back(toJson(Companion));
  }
  for (const entry::interference_status &Pair : Status.Interference) {
    Document["interference"].push_back(toJson(Pair));
  }
  return Document;
}

json toJson(const companion::status &Status) {
  json Document = {{"role", "companion"},
                   {"stopping", Status.Stopping},
                   {"configuration_revision", Status.ConfigurationRevision},
                   {"endpoint_name", Status.EndpointName},
                   {"endpoint", toJson(Status.Endpoint)},
                   {"load", toJson(Status.Load)},
                   {"started", Status.Started},
                   {"retained", Status.Retained},
                   {"retained_bytes", Status.RetainedBytes},
                   {"evacuation", toJson(Status.Evacuation)},
                   {"entries", json::array()}};
  for (const companion::entry_status &Entry : Status.Entries) {
    Document["entries"].push_back(
        {{"name", Entry.Name},
         {"address", crocuswood::toString(Entry.Address)},
         {"linked", Entry.Linked},
         {"queued", Entry.Queued},
         {"running", Entry.Running}});
  }
  return Document;
}

} // namespace

std::string writeStatus(const process_id &Self, const std::string &Zone,
                        const status_snapshot &Status) {
  json Document =
      std::visit([](const auto &Role) { return toJson(Role); }, Status);
  Document["name"] = Self.Name;
  Document["incarnation"] = crocuswood::toString(Self.Incarnation);
  Document["zone"] = Zone;
  return Document.dump();
}

std::string writeGauges(const status_snapshot &Status) {
  const std::size_t Zones = std::visit(
      [](const auto &Each) { return Each.Evacuation.Zones.size(); }, Status);
  std::string Text = "# TYPE crocuswood_evacuated_zones gauge\n"
                     "crocuswood_evacuated_zones " +
                     std::to_string(Zones) + "\n";
  if (const auto *Entry = std::get_if<entry::status>(&Status)) {
    const auto Cold =
        std::count_if(Entry->Companions.begin(), Entry->Companions.end(),
                      [](const auto &Each) { return Each.Cold; });
    Text += "# TYPE crocuswood_cold_endpoints gauge\n"
            "crocuswood_cold_endpoints " +
            std::to_string(Cold) + "\n";
  }
  return Text;
}

} // namespace crocuswood::daemon
