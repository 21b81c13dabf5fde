// JSON serialization of the documents and messages. from_json() throws
// nlohmann::json exceptions on missing fields and wrong types, and
// std::invalid_argument on a shard number out of range.
#ifndef DECISIONS_JSON_FORMS_H_
#define DECISIONS_JSON_FORMS_H_

#include <optional>
#include <string>

#include <nlohmann/json.hpp>

#include "base/error.h"
#include "decisions/intent.h"
#include "decisions/messages.h"
#include "decisions/plan.h"
#include "decisions/shard_views.h"
#include "decisions/topology.h"
#include "decisions/zone_status.h"

namespace sassafras {

using Json = nlohmann::json;

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Host,
                                   id,
                                   region,
                                   zone,
                                   caller_address,
                                   peer_address,
                                   leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostList, hosts)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Endpoint, id, zone, address, slots, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(EndpointList, service, endpoints)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PriorityIntent, weight, least_share)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServiceIntent,
                                   shares,
                                   priorities,
                                   shift_cap_per_minute)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LeavingEndpoint, endpoint, at_unix_seconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(LinkBudget, from, to, bits_per_second)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Intent::PastLoad,
                                   load_id,
                                   loaded_by,
                                   version)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Intent,
                                   version,
                                   load_id,
                                   loaded_by,
                                   loaded_at_unix_seconds,
                                   sheet_hash,
                                   services,
                                   leaving,
                                   headroom,
                                   links,
                                   history)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZonePlan, share, demand, failover_budget)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ServicePlan,
                                   version,
                                   intent_version,
                                   zones,
                                   mix,
                                   shift_cap_per_minute,
                                   least_shares)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ShardView,
                                   number,
                                   generation,
                                   primary,
                                   backup,
                                   backup_synced)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RegionViews, region, version, shards)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DocumentKey, kind, name)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Document, key, version, payload)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DocumentVersion, key, version)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneMembership, zone, age_ms, up, leaving)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Heartbeat,
                                   incarnation,
                                   leaving,
                                   digest,
                                   relay,
                                   zones,
                                   ages_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DocumentSummary, versions)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DocumentBatch, documents)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DemandSample,
                                   service,
                                   priority,
                                   requests_per_second,
                                   service_seconds)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotSample,
                                   service,
                                   zone,
                                   healthy_slots,
                                   busy_slots)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SyncedShard, shard, view)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(HostReport,
                                   host,
                                   region,
                                   zone,
                                   leaving,
                                   intent_version,
                                   demand,
                                   slots,
                                   synced)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ZoneStatus, zone, reporter, sequence, hosts)

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotRequest,
                                   exchange,
                                   service,
                                   zone,
                                   origin,
                                   priority,
                                   caller,
                                   fingerprint,
                                   budget_ms,
                                   held)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotGrant,
                                   exchange,
                                   service,
                                   zone,
                                   endpoint,
                                   address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotRefusal,
                                   exchange,
                                   reason,
                                   retry_after_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotRelease,
                                   exchange,
                                   service,
                                   zone,
                                   outcome,
                                   held_us)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(SlotAudit, service, zone, exchanges)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PoisonNotice,
                                   fingerprint,
                                   died,
                                   ran_alone,
                                   remaining_ms)

// A key without a generation has "minted": null.
inline void to_json(Json& j, const KeyHome& home) {
  j = Json{{"region", home.region}, {"shard", home.shard}};
  j["minted"] = home.minted ? Json(*home.minted) : Json();
}
inline void from_json(const Json& j, KeyHome& home) {
  j.at("region").get_to(home.region);
  j.at("shard").get_to(home.shard);
  if (home.shard < 0 || home.shard >= kShardsPerRegion)
    throw std::invalid_argument("shard out of range");
  home.minted.reset();
  if (!j.at("minted").is_null())
    home.minted = j.at("minted").get<Generation>();
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StoredAnswer, status, content_type, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRecord,
                                   key,
                                   body,
                                   state,
                                   revision,
                                   owner,
                                   exchange,
                                   answer_kept,
                                   answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyBegin, exchange, home, key, body)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyGrant, exchange, home, key)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyRefusal, exchange, verdict, not_run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyAnswer, exchange, answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyComplete,
                                   exchange,
                                   home,
                                   key,
                                   state,
                                   answer_kept,
                                   answer)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyCompleted, exchange, not_run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyReplicate, region, shard, view, records)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RecordRevision, key, revision)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(KeyReplicated,
                                   region,
                                   shard,
                                   view,
                                   refused,
                                   records)

// Writes the position as two fields. Hosts of earlier versions know only the
// one for the revision; era zero is left out.
inline void WritePosition(Json& json,
                          const char* revision_field,
                          const char* era_field,
                          const StorePosition& position) {
  json[revision_field] = position.revision();
  if (position.era() > 0)
    json[era_field] = position.era();
}

inline StorePosition ReadPosition(const Json& json,
                                  const char* revision_field,
                                  const char* era_field) {
  return {json.value(era_field, uint64_t{0}),
          json.at(revision_field).get<uint64_t>()};
}

inline void to_json(Json& json, const CachePosition& position) {
  json = {{"kind", position.kind}};
  WritePosition(json, "as_of", "era", position.as_of);
  if (position.has_lost_push)
    json["has_lost_push"] = true;
}

inline void from_json(const Json& json, CachePosition& position) {
  json.at("kind").get_to(position.kind);
  position.as_of = ReadPosition(json, "as_of", "era");
  // Followers of earlier versions do not say.
  position.has_lost_push = json.value("has_lost_push", false);
}

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(CacheFollow, positions)

inline void to_json(Json& json, const CacheItem& item) {
  json = {{"kind", item.kind},
          {"name", item.name},
          {"removed", item.removed},
          {"value", item.value}};
  WritePosition(json, "revision", "era", item.position);
}

inline void from_json(const Json& json, CacheItem& item) {
  json.at("kind").get_to(item.kind);
  json.at("name").get_to(item.name);
  json.at("removed").get_to(item.removed);
  json.at("value").get_to(item.value);
  item.position = ReadPosition(json, "revision", "era");
}

inline void to_json(Json& json, const CacheSpan& span) {
  json = {{"kind", span.kind},
          {"is_list", span.is_list},
          {"names", span.names},
          {"is_partial", span.is_partial}};
  WritePosition(json, "from", "from_era", span.from);
  WritePosition(json, "as_of", "era", span.as_of);
}

inline void from_json(const Json& json, CacheSpan& span) {
  json.at("kind").get_to(span.kind);
  span.from = ReadPosition(json, "from", "from_era");
  span.as_of = ReadPosition(json, "as_of", "era");
  json.at("is_list").get_to(span.is_list);
  json.at("names").get_to(span.names);
  // Relays of earlier versions have whole lists only.
  span.is_partial = json.value("is_partial", false);
}

inline void to_json(Json& json, const CachePush& push) {
  json = {{"doubt_ms", push.doubt_ms},
          {"store_age_ms", push.store_age_ms},
          {"state_age_ms", push.state_age_ms},
          {"spans", push.spans},
          {"items", push.items}};
}

inline void from_json(const Json& json, CachePush& push) {
  json.at("doubt_ms").get_to(push.doubt_ms);
  json.at("store_age_ms").get_to(push.store_age_ms);
  // Relays of earlier versions do not say.
  push.state_age_ms = json.value("state_age_ms", push.store_age_ms);
  json.at("spans").get_to(push.spans);
  json.at("items").get_to(push.items);
}

// Parses the JSON payload of the document `name`. Any parse error becomes
// kBadInput with the document's name and the reason.
template <typename T>
Result<T> ReadPayload(const std::string& payload, const std::string& name) {
  try {
    return Json::parse(payload).template get<T>();
  } catch (const std::exception& e) {
    return leaf::new_error(
        Error{ErrorCode::kBadInput, "read document", name, e.what()});
  }
}

// Like ReadPayload(), but returns nullopt on any error, for callers that then
// keep their previous value.
template <typename T>
std::optional<T> TryReadPayload(const std::string& payload) {
  return TryOr(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(value, ReadPayload<T>(payload, ""));
        return std::optional<T>(std::move(value));
      },
      [](const Error&) { return std::optional<T>(); });
}

}  // namespace sassafras

#endif  // DECISIONS_JSON_FORMS_H_
