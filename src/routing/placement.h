// Chooses the endpoint that a request is sent to.
//
// Endpoints are about three times as fast on objects that they have handled
// before. All hosts therefore rank the endpoints of a service in the same order
// for an object (rendezvous hashing) and send its requests to the first one
// that has room. Traffic between regions is expensive and slow, and most
// requests for an object come from one region, so objects stay in the region of
// their callers as far as the capacity of its endpoints allows.
#ifndef ROUTING_PLACEMENT_H_
#define ROUTING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"
#include "routing/endpoint_set.h"
#include "routing/home_regions.h"
#include "routing/steering_config.h"
#include "routing/urgent_reserve.h"

namespace sassafras {

// What a host knows about itself and the other hosts.
struct PlacementContext {
  uint64_t own_hash = 0;  // Hash of this host's id.
  // Hashes of all hosts, see KnownHostHashes(). The rate limit of a cold
  // endpoint applies to all hosts together, so only kMaxWarmupSenders of them
  // send to it.
  std::vector<uint64_t> host_hashes;
  // See KnowsHosts(). A host that does not know the other hosts sends nothing
  // to cold endpoints, since it cannot tell whether it is one of the senders.
  bool knows_hosts = true;
  RegionId own_region;  // Empty: all regions are treated as one.
  // Expected share of all callers in each region, from 0 to 1. Callers are
  // taken as spread evenly over the availability zones of the deployment.
  std::map<RegionId, double> caller_shares;
};

// Number of hosts that may send requests to one cold endpoint.
inline constexpr size_t kMaxWarmupSenders = 3;

// Share of the objects that are placed in the region of their callers if it has
// the capacity. The others are spread over all regions by capacity, which
// relieves a region whose callers are all busy at the same time. For requests
// with large bodies the share is 1.
inline constexpr double kLocalRegionBias = 0.6;

struct PlacementRequest {
  const ServiceId* service = nullptr;
  const RequestRoute* route = nullptr;
  // May differ from those of `route`, if a newer version has moved them.
  HomeRegions homes;
  std::string_view affinity_key;  // Object id; empty: no object.
  uint64_t random = 0;            // Replaces the key's hash if there is no key.
  bool has_large_bodies = false;  // See HasLargeBodies().
  // Long work of a lower priority; see urgent_reserve.h.
  bool is_long = false;
  // Estimated number of objects of the service's requests that are as long or
  // as urgent as this one; see object_spread.h.
  double objects = 0;
  // Share of the endpoints reserved for urgent requests, from 0 to 1.
  double reserved_share = 0;
  // Endpoints that this request was sent to before; they are excluded.
  std::vector<const EndpointView*> tried;
};

enum class PlacementReason {
  kPreferred,    // One of the object's own endpoints.
  kSpill,        // A later candidate, because these have no room.
  kLeastLoaded,  // The candidate with the fewest requests per slot.
  kNoEndpoint,   // No endpoint is registered, eligible and allowed.
  kBackoff,      // As kNoEndpoint, but some endpoints only back off.
  kFull,         // The chosen endpoint's queue is full.
};

template <>
struct NamesTable<PlacementReason> {
  static constexpr EnumName<PlacementReason> kNames[] = {
      {PlacementReason::kPreferred, "preferred"},
      {PlacementReason::kSpill, "spill"},
      {PlacementReason::kLeastLoaded, "least_loaded"},
      {PlacementReason::kNoEndpoint, "no_endpoint"},
      {PlacementReason::kBackoff, "backoff"},
      {PlacementReason::kFull, "full"},
  };
};

struct Placement {
  EndpointPtr endpoint;  // Null: no endpoint can take the request now.
  PlacementReason reason = PlacementReason::kNoEndpoint;
  double load = 0;  // Estimated requests on the chosen endpoint.
};

// Share of the requests from `context.own_region` that is sent to each region's
// endpoints of a service. A share of `local_bias` stays in the own region up to
// its capacity, and the overflow goes to regions that have a larger share of
// the slots than of the callers. The rest is spread over all regions by their
// slots. Returns an empty map if the own region is unknown or the service has
// no capacity; all regions then count as one.
std::map<RegionId, double> RegionWeights(
    const EndpointSet& set,
    const std::vector<EndpointPtr>& endpoints,
    const PlacementContext& context,
    double local_bias);

// Chooses an endpoint for `request`. If none can take it, the result's
// `endpoint` is null and its `reason` is kNoEndpoint, kBackoff or kFull.
Placement PlaceRequest(const EndpointSet& set,
                       const PlacementContext& context,
                       const PlacementRequest& request,
                       Time now);

// When the first of the endpoints in `homes` resumes after a backoff. Empty if
// any of them is eligible, or none backs off.
std::optional<Time> FirstResume(const EndpointSet& set,
                                const ServiceId& service,
                                const HomeRegions& homes,
                                Time now);

// Must be called when a request is sent to `endpoint`: sets the earliest time
// of this host's next request to it while the endpoint is cold.
void OnPlaced(const SteeringConfig& config, EndpointView& endpoint, Time now);

}  // namespace sassafras

#endif  // ROUTING_PLACEMENT_H_
