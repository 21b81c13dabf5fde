#include "gateway/state_dump.h"

#include <nlohmann/json.hpp>

#include "base/lenient_json.h"

namespace sassafras {

namespace {

using Json = nlohmann::json;

Json DumpEndpoint(const EndpointView& it, Time now) {
  return Json{
      {"id", it.record.id},
      {"service", it.record.service},
      {"zone", it.record.zone},
      {"address", it.record.address.ToString()},
      {"state", NameOf(it.state)},
      {"state_age_ms", Millis(now - it.state_since)},
      {"is_cold", IsCold(it, now)},
      {"in_flight", it.in_flight},
      {"estimated_load", EstimatedLoad(it, now)},
      {"report_age_ms", it.has_report ? Millis(now - it.report.at) : -1},
      {"is_leaving", IsLeaving(it.notice)},
      {"resumes_in_ms",
       Millis(std::max(it.notice.resume_at - now, Duration(0)))},
      {"failures_in_row", it.failures_in_row},
      {"is_ejected", now < it.ejected_until}};
}

Json DumpReserve(const ServiceId& service, const ServiceDemand& it, Time now) {
  return Json{{"service", service},
              {"share", it.reserved_share},
              {"own_urgent_slots", DemandedSlots(it.urgent, now)},
              {"own_long_slots", DemandedSlots(it.long_work, now)}};
}

Json DumpSuspect(const CrashHistory& history,
                 uint64_t request,
                 const CrashRecord& it,
                 Time now) {
  return Json{{"request", request},
              {"crashes", CountCrashes(history, request)},
              {"epoch", it.epoch},
              {"probes", it.probes},
              {"returned_ms_ago", Millis(now - it.arrived_at)}};
}

Json DumpMember(const Member& it, Time now) {
  return Json{{"id", it.notice.id},
              {"ip", it.notice.ip},
              {"zone", it.notice.zone},
              {"phase", NameOf(it.notice.phase)},
              {"config", it.notice.config_version},
              {"heard_ms_ago", Millis(now - it.heard)},
              {"is_alive", IsAlive(it, now)}};
}

Json DumpSource(const StateSource& it) {
  Json positions = Json::object();
  for (const CachePosition& position : it.positions)
    positions[position.kind] = Json{{"era", position.as_of.era()},
                                    {"revision", position.as_of.revision()}};
  return Json{
      {"feed", it.feed}, {"relays", it.relays}, {"positions", positions}};
}

}  // namespace

std::string DumpGateway(const GatewayState& state) {
  const Time now = state.loop.Now();
  Json json;
  json["host"] = state.settings.host;
  json["phase"] = NameOf(state.members.self.phase);
  json["config"] = state.config ? state.config->version : 0;
  json["source"] = DumpSource(state.source);
  json["state_age_ms"] = IsConfirmed(state.freshness)
                             ? Millis(now - state.freshness.confirmed_at)
                             : -1;
  json["open_exchanges"] = state.open_exchanges;
  json["kept_connections"] = state.pool.size();
  json["endpoints"] = Json::array();
  for (const auto& [id, endpoint] : state.endpoints.by_id)
    json["endpoints"].push_back(DumpEndpoint(*endpoint, now));
  json["reserves"] = Json::array();
  for (const auto& [service, demand] : state.demands)
    json["reserves"].push_back(DumpReserve(service, demand, now));
  json["crash_records"] = state.crashes.by_request.size();
  json["suspects"] = Json::array();
  for (const auto& [request, record] : state.crashes.by_request) {
    if (IsSuspect(state.crashes, request))
      json["suspects"].push_back(
          DumpSuspect(state.crashes, request, record, now));
  }
  json["evacuated"] = Json::array();
  for (const ZoneId& it : state.endpoints.evacuated)
    json["evacuated"].push_back(it);
  json["members"] = Json::array();
  for (const auto& [id, member] : state.members.others)
    json["members"].push_back(DumpMember(member, now));
  return DumpLenientJson(json);
}

}  // namespace sassafras
