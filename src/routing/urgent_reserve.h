// Endpoints of a service that are set apart for its urgent requests.
//
// Answers to: short urgent requests that share a service with long ones of a
// lower rank, which ask for more than the service has. Endpoints serve first
// come, first served, and a host knows too little of their queues to order the
// requests itself. So long requests leave some endpoints of each region alone,
// in proportion to the urgent demand, which the hosts tell each other by
// gossip. All hosts name the same endpoints in the same order; hosts that judge
// the demand differently only differ in where the reserve ends.
#ifndef ROUTING_URGENT_RESERVE_H_
#define ROUTING_URGENT_RESERVE_H_

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "routing/endpoint_set.h"
#include "routing/host_members.h"
#include "routing/steering_config.h"

namespace sassafras {

// Recent work that this host was asked for, in seconds of an endpoint's slot;
// older work counts less.
struct RecentWork {
  double seconds = 0;
  Time since;    // Of the first request.
  Time updated;  // Of the last request.
};

struct ServiceDemand {
  RecentWork urgent;
  RecentWork long_work;
  // Share of the endpoints that is set apart now.
  double reserved_share = 0;
};

using ServiceDemands = std::unordered_map<ServiceId, ServiceDemand>;

// Slots' worth of work that arrives at all hosts.
struct FleetDemand {
  double urgent_slots = 0;
  double long_slots = 0;
};

// A request arrived whose answer is expected to take `work`. Time beyond the
// route's target is waiting rather than work and does not count.
void OnDemand(ServiceDemand& demand,
              const RequestRoute& route,
              bool is_long,
              Duration work,
              Time now);

// Slots' worth of work that arrives at this host.
double DemandedSlots(const RecentWork& work, Time now);

// What all hosts are asked for, from this host's part and from what others have
// said of theirs: as much for a host that has said nothing as on the mean.
FleetDemand EstimateFleetDemand(const ServiceDemand& own,
                                const ServiceId& service,
                                const HostMembers& members,
                                Time now);

// Sets the share of the endpoints to set apart on a service of `slots` slots
// and returns whether it has changed. Zero unless urgent and long requests
// arrive. Small changes of the demand leave the share as it is, since each
// change moves objects to endpoints that do not know them.
bool UpdateReservedShare(ServiceDemand& demand,
                         const FleetDemand& fleet,
                         double slots);

// A reserve that has changed, and what it went by.
struct ReserveChange {
  ServiceId service;
  double before = 0;
  double share = 0;
  FleetDemand fleet;
  double slots = 0;
};

// Updates the reserves of all services. One that is no longer divided has none.
std::vector<ReserveChange> UpdateReserves(ServiceDemands& demands,
                                          const SteeringConfig& config,
                                          const EndpointSet& set,
                                          const HostMembers& members,
                                          Time now);

// This host's demand on the services that are divided, for other hosts.
std::vector<DemandNotice> OwnDemands(const ServiceDemands& demands,
                                     const SteeringConfig& config,
                                     Time now);

// The endpoints of one service, split by who comes first on them. A region's
// only endpoint is in both lists.
struct EndpointSplit {
  std::vector<EndpointPtr> urgent;
  std::vector<EndpointPtr> long_work;
};

// Sets `share` of each region's endpoints apart, one at least. Endpoints that
// are cold, leaving or evacuated are never set apart.
EndpointSplit SplitEndpoints(const EndpointSet& set,
                             const std::vector<EndpointPtr>& endpoints,
                             double share,
                             Time now);

}  // namespace sassafras

#endif  // ROUTING_URGENT_RESERVE_H_
