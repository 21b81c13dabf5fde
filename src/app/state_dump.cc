#include "app/state_dump.h"

#include <functional>
#include <map>
#include <set>

#include "decisions/json_forms.h"

namespace sassafras {

namespace {

using DumpParts = std::map<std::string, std::function<Json()>>;

std::string_view HostStateName(HostState state) {
  switch (state) {
    case HostState::kDead:
      return "dead";
    case HostState::kLive:
      return "live";
    case HostState::kLeaving:
      return "leaving";
  }
  return "?";
}

Json DocumentsJson(const Replica& replica) {
  Json out = Json::object();
  for (const auto& [key, entry] : replica.entries) {
    const std::string name = std::string(NameOf(key.kind)) + "/" + key.name;
    out[name] = entry.document.version;
  }
  return out;
}

Json MembersJson(const EntryNode& node, Time now) {
  Json hosts = Json::object();
  for (const auto& [id, host] : node.membership.listed)
    hosts[id.value()] = HostStateName(StateOf(node.membership, id, now));
  return {{"hosts", hosts},
          {"is_relay", IsRelay(node.membership, now)},
          {"is_reporter", IsZoneReporter(node.membership, now)},
          {"incarnation", node.membership.incarnation}};
}

Json FlowsJson(const EntryNode& node) {
  Json out = Json::object();
  for (const auto& [service, routing] : node.routing) {
    Json row = Json::object();
    double before = 0;
    for (const FlowRow::Target& it : routing.row.targets) {
      row[it.zone.value()] = it.cumulative_share - before;
      before = it.cumulative_share;
    }
    out[service.value()] = {{"shares", routing.shares.zones},
                            {"admitted", routing.shares.admitted},
                            {"row", row}};
  }
  return out;
}

Json GranterJson(const Granter& g, Time now) {
  Json endpoints = Json::object();
  for (const auto& [id, state] : g.endpoints) {
    const auto health = g.health.find(id);
    const bool ejected =
        health != g.health.end() && IsEjected(health->second, now);
    endpoints[id.value()] = {{"running", state.running.size()},
                             {"leaving", state.endpoint.leaving},
                             {"ejected", ejected}};
  }
  Json waiting = Json::object();
  for (const Priority p : kAllPriorities)
    waiting[std::string(NameOf(p))] = g.queues[IndexOf(p)].size;
  return {{"service", g.service},
          {"zone", g.zone},
          {"healthy_slots", HealthySlots(g, now)},
          {"waiting", waiting},
          {"endpoints", endpoints}};
}

Json SlotsJson(const EntryNode& node, Time now) {
  Json out = Json::array();
  for (const auto& [key, g] : node.granters)
    out.push_back(GranterJson(g, now));
  return out;
}

Json KeysJson(const EntryNode& node) {
  size_t primary = 0;
  size_t backup = 0;
  const auto it = node.views.find(node.self.region);
  if (it != node.views.end()) {
    for (const ShardView& view : it->second.shards) {
      primary += view.primary == node.self.id ? 1 : 0;
      backup += view.backup == node.self.id ? 1 : 0;
    }
  }
  return {{"records", node.ledger.record_count},
          {"answer_bytes", node.ledger.answer_bytes},
          {"shards_as_primary", primary},
          {"shards_as_backup", backup},
          {"unconfirmed_outcomes", node.outcomes.size()}};
}

Json PoisonJson(const EntryNode& node) {
  Json out = Json::array();
  for (const auto& [fingerprint, entry] : node.poison.entries) {
    out.push_back({{"fingerprint", fingerprint},
                   {"died", entry.died},
                   {"ran_alone", entry.ran_alone}});
  }
  return out;
}

std::string FormatParts(const DumpParts& parts, const std::string& part_name) {
  // Names that come from callers or peers may not be valid UTF-8.
  const auto text = [](const Json& json) {
    return json.dump(2, ' ', false, Json::error_handler_t::replace);
  };
  if (!part_name.empty()) {
    const auto it = parts.find(part_name);
    return it == parts.end() ? std::string() : text(it->second());
  }
  Json all = Json::object();
  for (const auto& [name, make] : parts)
    all[name] = make();
  return text(all);
}

}  // namespace

std::string DumpEntry(const EntryNode& node,
                      const Mesh& mesh,
                      const std::string& part,
                      Time now) {
  const DumpParts parts = {
      {"process",
       [&] {
         return Json{{"host", node.self.id},
                     {"region", node.self.region},
                     {"zone", node.self.zone},
                     {"ready", IsReady(node)},
                     {"stopping", node.stopping},
                     {"open_exchanges", node.exchanges.size()},
                     {"intent_version", node.intent.version}};
       }},
      {"peers",
       [&] {
         return Json{{"connected", mesh.ConnectedCount()},
                     {"bytes_sent", mesh.BytesSent()},
                     {"bytes_received", mesh.BytesReceived()}};
       }},
      {"documents", [&] { return DocumentsJson(node.replica); }},
      {"members", [&] { return MembersJson(node, now); }},
      {"flows", [&] { return FlowsJson(node); }},
      {"slots", [&] { return SlotsJson(node, now); }},
      {"keys", [&] { return KeysJson(node); }},
      {"poison", [&] { return PoisonJson(node); }},
  };
  return FormatParts(parts, part);
}

std::string DumpControl(const ControlNode& node,
                        const std::string& part,
                        Time now) {
  const DumpParts parts = {
      {"process",
       [&] {
         return Json{{"host", node.self.id},
                     {"leader", IsLeader(node, now)},
                     {"contender", node.is_relay}};
       }},
      {"lease",
       [&] {
         return Json{{"holder", node.lease.object.holder},
                     {"term", node.lease.object.term},
                     {"renewal", node.lease.object.renewal}};
       }},
      {"documents", [&] { return DocumentsJson(node.replica); }},
      {"zones",
       [&] {
         Json out = Json::object();
         for (const auto& [zone, reports] : node.statuses) {
           out[zone.value()] = {{"age_ms", Millis(now - reports.changed)},
                                {"sequence", reports.status.sequence},
                                {"hosts", reports.status.hosts.size()}};
         }
         return out;
       }},
  };
  return FormatParts(parts, part);
}

}  // namespace sassafras
