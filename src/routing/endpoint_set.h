// A host's view of the endpoints: which are registered or draining, which
// availability zones are evacuated, and the load and health of each endpoint as
// seen from its answers.
//
// Handles registry outages, during which records disappear although their
// endpoints still run, endpoints that fail repeatedly, which are ejected for a
// short time, and endpoints that say in answers that they are leaving or want
// no requests for some time.
// EligibilityOf() alone decides whether an endpoint may get requests.
#ifndef ROUTING_ENDPOINT_SET_H_
#define ROUTING_ENDPOINT_SET_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/names_table.h"
#include "base/time.h"
#include "routing/endpoint_notices.h"

namespace sassafras {

// An endpoint as described by its record in the registry. A restart with the
// same id is a new incarnation.
struct EndpointRecord {
  EndpointId id;
  ServiceId service;
  Address address;
  ZoneId zone;
  RegionId region;  // Empty if the zone is unknown.
  int slots = 1;    // Number of requests that it runs at the same time.
  bool draining = false;
  Duration warmup_left{};  // Remaining time as a cold endpoint; zero: warm.
  // Wall-clock time of its start in Unix milliseconds; identifies the
  // incarnation.
  int64_t started_at_ms = 0;
};

enum class EndpointState {
  kReady,
  kDraining,  // Finishes its requests; gets no new ones.
  kMissing,   // Its record disappeared while the registry was unreliable.
  kGone,      // Removed; gets no new requests.
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

// Load that an endpoint reports in an answer, over all hosts.
struct LoadReport {
  int running = 0;  // Requests in its slots.
  int waiting = 0;  // Requests in its queue.
  int slots = 0;
  Time at;  // When this host received the report.
};

// This host's view of one incarnation of an endpoint.
struct EndpointView {
  EndpointRecord record;
  uint64_t hash = 0;  // Hash of the id, for rendezvous hashing.
  // Hash of the id and the start time, the same on all hosts.
  uint64_t incarnation = 0;
  EndpointState state = EndpointState::kReady;
  Time state_since;
  Time warm_at;  // The endpoint is cold before this time.
  // With kGone: its process has ended without draining before. It is back with
  // a new start time, or its record was removed while the registry was
  // reliable.
  bool ended_abruptly = false;

  // Requests of this host that the endpoint has not finished yet.
  int in_flight = 0;
  LoadReport report;
  bool has_report = false;
  // Requests of this host that were sent and that ended since `report`.
  int sent_since_report = 0;
  int ended_since_report = 0;

  int failures_in_row = 0;  // See OnFailure().
  Time ejected_until;       // Gets no requests before this time.
  Time last_success;
  // Earliest time of this host's next request while the endpoint is cold.
  Time next_cold_send;
  EndpointNotice notice;
  // No request has been answered since a backoff; see IsBusyResuming().
  bool is_resuming = false;
};

using EndpointPtr = std::shared_ptr<EndpointView>;

// The lower half of EndpointView::incarnation, for messages that carry many.
inline uint32_t HashOfIncarnation(const EndpointView& endpoint) {
  return static_cast<uint32_t>(endpoint.incarnation);
}

struct EndpointSet {
  std::unordered_map<EndpointId, EndpointPtr> by_id;
  std::unordered_map<ServiceId, std::vector<EndpointPtr>> by_service;
  std::set<ZoneId> evacuated;
  EndpointNotices notices;
  // Incarnations that have ended, and when. See kEndedLifetime.
  std::unordered_map<uint64_t, Time> ended;
  // Before this time, a missing record does not prove that its endpoint has
  // left.
  Time registry_unreliable_until;
};

// How long an incarnation that has ended is remembered: longer than a copy of
// the store, from which it could come back, is old.
inline constexpr Duration kEndedLifetime = std::chrono::seconds(60);

// Identifies the endpoint and its start, the same on all hosts.
uint64_t IncarnationOf(const EndpointRecord& record);

// An endpoint whose record is still missing this long after the registry became
// reachable again is taken as gone.
inline constexpr Duration kMissingRecordGracePeriod =
    std::chrono::milliseconds(2200);
// An endpoint without a record gets requests only if one succeeded within this
// time.
inline constexpr Duration kRecentSuccessWindow = std::chrono::seconds(3);

// A change of an endpoint's state, for the log.
struct EndpointChange {
  EndpointPtr endpoint;
  EndpointState from = EndpointState::kReady;  // State before the change.
  bool is_new = false;  // The endpoint was not known before.
};

// Applies a record that was added or changed. Ignores a record that is older
// than the known incarnation.
std::vector<EndpointChange> ApplyRecord(EndpointSet& set,
                                        const EndpointRecord& record,
                                        Time now);
// Applies the removal of a record. Keeps an endpoint that answered recently as
// kMissing while the registry is unreliable.
std::vector<EndpointChange> ApplyRemoval(EndpointSet& set,
                                         const EndpointId& id,
                                         Time now);
// Applies the complete list of records. Endpoints that are not in it are
// handled as in ApplyRemoval().
std::vector<EndpointChange> ApplyList(
    EndpointSet& set,
    const std::vector<EndpointRecord>& records,
    Time now);
// Puts each endpoint into its zone's region in `regions`, which has changed. An
// endpoint whose zone is not in it gets none.
void SetRegions(EndpointSet& set, const std::map<ZoneId, RegionId>& regions);
// Marks the registry as unreliable for kMissingRecordGracePeriod. Must be
// called while it cannot be reached and when it becomes reachable again.
void MarkRegistryUnreliable(EndpointSet& set, Time now);
// Marks the registry as unreliable for at least `unreliable_for` from now; for
// a host that learns the registry's state from other hosts.
void ExtendRegistryUnreliable(EndpointSet& set,
                              Duration unreliable_for,
                              Time now);
// Removes the endpoints that are still kMissing once the registry is reliable
// again.
std::vector<EndpointChange> DropMissing(EndpointSet& set, Time now);

// The zone's endpoints get no requests until the evacuation ends. After that,
// they count as cold for `warmup`.
void SetEvacuated(EndpointSet& set, const ZoneId& zone);
void EndEvacuation(EndpointSet& set,
                   const ZoneId& zone,
                   Duration warmup,
                   Time now);

// Whether an endpoint may get requests, or why not.
enum class Eligibility {
  kEligible,
  kDraining,   // Its record says so.
  kGone,       // Its record was removed.
  kLeaving,    // It has said so in an answer, to this or another host.
  kEvacuated,  // Its zone is evacuated.
  kBackoff,    // It has asked this host to send nothing for some time.
  kMissing,    // Its record is missing, and it has not answered lately.
};

template <>
struct NamesTable<Eligibility> {
  static constexpr EnumName<Eligibility> kNames[] = {
      {Eligibility::kEligible, "eligible"},
      {Eligibility::kDraining, "draining"},
      {Eligibility::kGone, "gone"},
      {Eligibility::kLeaving, "leaving"},
      {Eligibility::kEvacuated, "evacuated"},
      {Eligibility::kBackoff, "backoff"},
      {Eligibility::kMissing, "missing"},
  };
};

// The only decision whether new requests may be sent to an endpoint, regardless
// of its load, of an ejection and of the limits of cold and resuming endpoints.
Eligibility EligibilityOf(const EndpointSet& set,
                          const EndpointView& endpoint,
                          Time now);

inline bool IsEligible(const EndpointSet& set,
                       const EndpointView& endpoint,
                       Time now) {
  return EligibilityOf(set, endpoint, now) == Eligibility::kEligible;
}

// Whether the endpoint resumes after a backoff and already has a request of
// this host. It gets one at a time until one is answered.
inline bool IsBusyResuming(const EndpointView& endpoint) {
  return endpoint.is_resuming && endpoint.in_flight > 0;
}

// Whether the endpoint's slots count as capacity of its service: it is eligible
// but for a backoff, which is short, or a missing record.
bool CountsAsCapacity(const EndpointSet& set, const EndpointView& endpoint);

// Sum of the slots, busy or not, of the service's endpoints that count as
// capacity.
double CapacitySlots(const EndpointSet& set, const ServiceId& service);

// The endpoint of this incarnation; null if the set has none.
EndpointPtr FindIncarnation(const EndpointSet& set, uint64_t incarnation);

// The incarnation has said in an answer at `since`, to this or another host,
// that it is leaving. It gets no new requests for the rest of its life, even if
// its record stays ready, or is removed and written again. Returns false if
// this is known, or too old to matter for an incarnation not in the set.
bool OnLeaving(EndpointSet& set, uint64_t incarnation, Time since, Time now);

// The incarnation has refused a request and wants none of this host for
// `retry_after`; see BackOff(). Returns when it resumes, unless it backed off
// already or the time is zero.
std::optional<Time> OnBackoff(EndpointSet& set,
                              uint64_t incarnation,
                              Duration retry_after,
                              double random,
                              Time now);

// Removes the notices of backoffs that are over, and of leavings of
// incarnations that are not in the set after kLeavingLifetime. Forgets
// incarnations that ended longer than kEndedLifetime ago.
void ExpireNotices(EndpointSet& set, Time now);

inline bool IsCold(const EndpointView& endpoint, Time now) {
  return now < endpoint.warm_at;
}

// Must be called for each request of this host that is sent to the endpoint,
// and when it ends in any way.
void OnSent(EndpointView& endpoint);
void OnEnded(EndpointView& endpoint);
// The endpoint has answered a request that it has run.
inline void OnRunAnswered(EndpointView& endpoint) {
  endpoint.is_resuming = false;
}
// Stores the load report of an answer.
void OnReport(EndpointView& endpoint, const LoadReport& report);
// The endpoint sent a valid answer.
void OnSuccess(EndpointView& endpoint, Time now);
// Another endpoint answered at its address, which is given to others after an
// endpoint has ended: the endpoint gets no requests for 4000 ms, and its
// earlier answers no longer show that it runs.
void OnMisdirected(EndpointView& endpoint, Time now);
// The endpoint refused a connection, did not accept it in time, closed it
// before the answer was complete or sent an invalid answer. Two failures in a
// row eject the endpoint for 500 ms; each further failure doubles the time, up
// to 4000 ms.
void OnFailure(EndpointView& endpoint, Time now);

// Estimated number of requests on the endpoint, running or queued, from all
// hosts: the last report adjusted by this host's own requests since then. The
// report counts less the older it is. The result is never below the number of
// this host's requests in flight.
double EstimatedLoad(const EndpointView& endpoint, Time now);

}  // namespace sassafras

#endif  // ROUTING_ENDPOINT_SET_H_
