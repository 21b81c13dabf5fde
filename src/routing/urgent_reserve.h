// Reserves some endpoints of a service for its urgent requests.
//
// Handles services where short urgent requests compete with long requests of a
// lower priority that demand more than the capacity. Endpoints run requests in
// order of arrival, and a host knows too little about their queues to order the
// requests itself. Long requests therefore avoid some endpoints of each region.
// The size of this reserve follows the urgent demand, which hosts exchange by
// gossip, and is larger while long work leaves endpoints idle. All hosts rank
// the endpoints in the same order, so hosts with different estimates of the
// demand differ only in the size of the reserve.
//
// Only services that FindLongRanks() splits into urgent and long work have a
// reserve.
#ifndef ROUTING_URGENT_RESERVE_H_
#define ROUTING_URGENT_RESERVE_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/endpoint_set.h"
#include "routing/host_members.h"
#include "routing/object_spread.h"
#include "routing/steering_config.h"

namespace sassafras {

// Work requested from this host, in seconds that it occupies a slot of an
// endpoint. Older work counts exponentially less.
struct RecentWork {
  double seconds = 0;  // As of `updated`.
  Time since;          // Of the first request.
  Time updated;        // Of the last request.
};

struct ServiceDemand {
  RecentWork urgent;
  RecentWork long_work;
  ObjectSample urgent_objects;
  ObjectSample long_objects;
  // Share of the endpoints that is reserved now, from 0 to 1.
  double reserved_share = 0;
};

using ServiceDemands = std::unordered_map<ServiceId, ServiceDemand>;

// Work that arrives at all hosts, as the mean number of slots that it occupies.
struct FleetDemand {
  double urgent_slots = 0;
  double long_slots = 0;
};

// Records a request that is expected to take `work`. Time beyond the route's
// target latency does not count, since it is waiting time rather than work.
void OnDemand(ServiceDemand& demand,
              const RequestRoute& route,
              bool is_long,
              Duration work,
              Time now);

// Mean number of slots that the work arriving at this host occupies.
double DemandedSlots(const RecentWork& work, Time now);

// Estimates the demand on `service` at all hosts that are alive, from this
// host's demand and the demand that others reported lately. Hosts without a
// recent report count with the mean of those that are known.
FleetDemand EstimateFleetDemand(const ServiceDemand& own,
                                const ServiceId& service,
                                const HostMembers& members,
                                Time now);

// Updates the reserved share of a service with `slots` slots and returns
// whether it has changed. The share is zero unless both urgent and long
// requests arrive. Small changes of the demand do not change it, since each
// change moves objects to endpoints that do not have them in their caches.
bool UpdateReservedShare(ServiceDemand& demand,
                         const FleetDemand& fleet,
                         double slots);

// A change of a service's reserved share and the values that it was computed
// from, for the log.
struct ReserveChange {
  ServiceId service;
  double before = 0;  // Reserved share before the change.
  double share = 0;   // Reserved share after the change.
  FleetDemand fleet;
  double slots = 0;
};

// Updates the reserves of all services and returns the changes. A service that
// is no longer split into urgent and long work loses its reserve.
std::vector<ReserveChange> UpdateReserves(ServiceDemands& demands,
                                          const SteeringConfig& config,
                                          const EndpointSet& set,
                                          const HostMembers& members,
                                          Time now);

// This host's demand on the services that are split into urgent and long work,
// for gossip.
std::vector<DemandNotice> OwnDemands(const ServiceDemands& demands,
                                     const SteeringConfig& config,
                                     Time now);

// The endpoints of one service by the kind of work that prefers them. If a
// region has only one endpoint, it is in both lists.
struct EndpointSplit {
  std::vector<EndpointPtr> urgent;
  std::vector<EndpointPtr> long_work;
};

// Reserves `share` of each region's endpoints for urgent work, and at least one
// for each kind of work. Endpoints that are cold, draining or evacuated are
// never reserved.
EndpointSplit SplitEndpoints(const EndpointSet& set,
                             const std::vector<EndpointPtr>& endpoints,
                             double share,
                             Time now);

}  // namespace sassafras

#endif  // ROUTING_URGENT_RESERVE_H_
