// What a host believes about the endpoints: who is registered, who is leaving,
// which availability zones are evacuated, and how loaded and sound each
// endpoint is by its answers.
#ifndef ROUTING_ENDPOINT_SET_H_
#define ROUTING_ENDPOINT_SET_H_

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"

namespace sassafras {

// One incarnation of an endpoint as the registry describes it.
struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  Address address;
  ZoneId zone;
  RegionId region;  // Empty if the zone is unknown.
  int slots = 1;    // Requests that it runs at once.
  bool draining = false;
  Duration warmup_left{};  // Zero: warm.
  int64_t started_at_ms =
      0;  // Wall clock of its start; tells incarnations apart.
};

enum class EndpointState {
  kReady,
  kDraining,  // Finishes what it has; gets nothing new.
  kMissing,   // Its record lapsed while the registry was unreliable.
  kGone,      // Removed; gets nothing new.
};

template <>
struct NamesTable<EndpointState> {
  static constexpr EnumName<EndpointState> kNames[] = {
      {EndpointState::kReady, "ready"},
      {EndpointState::kDraining, "draining"},
      {EndpointState::kMissing, "missing"},
      {EndpointState::kGone, "gone"},
  };
};

// An endpoint's own report of its load, from an answer.
struct LoadReport {
  int running = 0;
  int waiting = 0;
  int slots = 0;
  Time at;  // When the report was received.
};

struct EndpointView {
  EndpointRecord record;
  uint64_t hash = 0;  // Of the id; ranks endpoints for an object.
  EndpointState state = EndpointState::kReady;
  Time state_since;
  Time warm_at;  // Cold until then.

  // Requests of this host that are on the endpoint now.
  int in_flight = 0;
  LoadReport report;
  bool has_report = false;
  // Requests of this host sent and ended since `report`.
  int sent_since_report = 0;
  int ended_since_report = 0;

  int failures_in_row = 0;  // Connections refused, broken answers, silence.
  Time ejected_until;
  Time last_success;
  Time next_cold_send;  // Earliest time of the next request while cold.
};

using EndpointPtr = std::shared_ptr<EndpointView>;

struct EndpointSet {
  std::unordered_map<EndpointId, EndpointPtr> by_id;
  std::unordered_map<ServiceId, std::vector<EndpointPtr>> by_service;
  std::set<ZoneId> evacuated;
  // Until then a lapsed record does not prove that its endpoint has left.
  Time registry_unreliable_until;
};

// A record that is missing this long after the registry's return means that
// its endpoint has left.
inline constexpr Duration kMissingRecordGracePeriod =
    std::chrono::milliseconds(2200);
// An endpoint without a record stays in use only if it has answered lately.
inline constexpr Duration kRecentSuccessWindow = std::chrono::seconds(3);

// A change of belief, for the log.
struct EndpointChange {
  EndpointPtr endpoint;
  EndpointState from = EndpointState::kReady;
  bool is_new = false;
};

// Takes a record that was added or changed.
std::vector<EndpointChange> ApplyRecord(EndpointSet& set,
                                        const EndpointRecord& record,
                                        Time now);
// Takes the removal of a record.
std::vector<EndpointChange> ApplyRemoval(EndpointSet& set,
                                         const EndpointId& id,
                                         Time now);
// Takes the whole list of records; endpoints that are not in it have lapsed.
std::vector<EndpointChange> ApplyList(
    EndpointSet& set,
    const std::vector<EndpointRecord>& records,
    Time now);
// The registry cannot be reached, or has just come back.
void MarkRegistryUnreliable(EndpointSet& set, Time now);
// As above, as far as another host knows.
void ExtendRegistryUnreliable(EndpointSet& set,
                              Duration unreliable_for,
                              Time now);
// Drops endpoints whose records did not come back in time.
std::vector<EndpointChange> DropMissing(EndpointSet& set, Time now);

// The zone's endpoints get nothing until the evacuation ends; they are then
// taken as cold for `warmup`.
void SetEvacuated(EndpointSet& set, const ZoneId& zone);
void EndEvacuation(EndpointSet& set,
                   const ZoneId& zone,
                   Duration warmup,
                   Time now);

// Whether the endpoint belongs to its service's capacity: registered or
// lapsed, and not evacuated.
bool CountsAsCapacity(const EndpointSet& set, const EndpointView& endpoint);

// Slots of the service's endpoints that are in use.
double CapacitySlots(const EndpointSet& set, const ServiceId& service);

// Whether new requests may be sent to the endpoint, apart from its load.
bool IsUsable(const EndpointSet& set, const EndpointView& endpoint, Time now);

inline bool IsCold(const EndpointView& endpoint, Time now) {
  return now < endpoint.warm_at;
}

// Bookkeeping of a request's way through an endpoint.
void OnSent(EndpointView& endpoint);
void OnEnded(EndpointView& endpoint);
void OnReport(EndpointView& endpoint, const LoadReport& report);
void OnSuccess(EndpointView& endpoint, Time now);
// The endpoint could not be reached, broke off or fell silent.
void OnFailure(EndpointView& endpoint, Time now);

// Requests on the endpoint over all hosts, as far as reports tell.
double EstimatedLoad(const EndpointView& endpoint, Time now);

}  // namespace sassafras

#endif  // ROUTING_ENDPOINT_SET_H_
