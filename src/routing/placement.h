// Which endpoint runs a request.
//
// Answers to: endpoints are about three times as fast on objects that they
// have handled, so every host ranks the endpoints of a service alike for an
// object and sends it to the first that has room. Bytes between regions are
// dear and slow, and an object is mostly asked for from one region, so objects
// stay in the region of their callers as far as its endpoints can bear them.
#ifndef ROUTING_PLACEMENT_H_
#define ROUTING_PLACEMENT_H_

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"
#include "routing/endpoint_set.h"
#include "routing/steering_config.h"
#include "routing/urgent_reserve.h"

namespace sassafras {

// What a host knows of itself and of the other hosts.
struct PlacementContext {
  uint64_t own_hash = 0;  // Of this host's id.
  // See KnownHostHashes(). The pacing of cold endpoints is a bound on the sum
  // over all hosts, so only some hosts send to one of them.
  std::vector<uint64_t> host_hashes;
  // See KnowsHosts(). A host that does not know the others sends nothing to
  // cold endpoints.
  bool knows_hosts = true;
  RegionId own_region;  // Empty: regions are not told apart.
  // Share of the callers that each region has, as far as the deployment's
  // layout tells.
  std::map<RegionId, double> caller_shares;
};

// Hosts that may send to one cold endpoint.
inline constexpr size_t kWarmupSenders = 3;

// Share of the objects that stay at home if they can; the others lie anywhere,
// so that a region whose callers are all busy at once is relieved. Objects
// whose requests are heavy all stay if they can.
inline constexpr double kHomeBias = 0.6;

struct PlacementRequest {
  const ServiceId* service = nullptr;
  const RequestRoute* route = nullptr;
  std::string_view affinity_key;  // Empty: the request concerns no object.
  uint64_t random = 0;            // Spreads requests without a key.
  bool is_heavy = false;          // Carries many bytes.
  // Long work of a lower rank; see urgent_reserve.h.
  bool is_long = false;
  // Share of the endpoints that long work leaves to others.
  double reserved_share = 0;
  std::vector<const EndpointView*> tried;
};

enum class PlacementReason {
  kPreferred,  // First rank for the object.
  kSpill,      // A lower rank, since the first has no room.
  kLeastLoaded,
  kNoEndpoint,  // Nothing is registered, sound and allowed.
  kFull,        // All candidates' queues are full.
};

template <>
struct NamesTable<PlacementReason> {
  static constexpr EnumName<PlacementReason> kNames[] = {
      {PlacementReason::kPreferred, "preferred"},
      {PlacementReason::kSpill, "spill"},
      {PlacementReason::kLeastLoaded, "least_loaded"},
      {PlacementReason::kNoEndpoint, "no_endpoint"},
      {PlacementReason::kFull, "full"},
  };
};

struct Placement {
  EndpointPtr endpoint;  // Null: the request is not placed.
  PlacementReason reason = PlacementReason::kNoEndpoint;
  double load = 0;  // Estimated requests on the endpoint.
};

// The part of the requests from `context.own_region` that each region's
// endpoints of a service get: `home_bias` of them at home as far as its slots
// go and else where there is more capacity than callers, the others by
// capacity. Empty: regions are not told apart.
std::map<RegionId, double> RegionParts(
    const EndpointSet& set,
    const std::vector<EndpointPtr>& endpoints,
    const PlacementContext& context,
    double home_bias);

Placement PlaceRequest(const EndpointSet& set,
                       const PlacementContext& context,
                       const PlacementRequest& request,
                       Time now);

// Records that the request was sent, for the pacing of cold endpoints.
void OnPlaced(const SteeringConfig& config, EndpointView& endpoint, Time now);

}  // namespace sassafras

#endif  // ROUTING_PLACEMENT_H_
