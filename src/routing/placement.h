// Which endpoint runs a request.
//
// Answers to: endpoints are about three times as fast on objects that they
// have handled, so every host ranks the endpoints of a service alike for an
// object and sends it to the first that has room.
#ifndef ROUTING_PLACEMENT_H_
#define ROUTING_PLACEMENT_H_

#include <cstdint>
#include <string_view>
#include <vector>

#include "base/names_table.h"
#include "base/time.h"
#include "routing/endpoint_set.h"
#include "routing/steering_config.h"

namespace sassafras {

// How this host takes part in the pacing of cold endpoints: the sum over all
// hosts must stay under a bound, so only some hosts send to one of them.
struct WarmupPacing {
  uint64_t own_hash = 0;  // Of this host's id.
  // Hashes of the hosts that are alive, this one among them.
  std::vector<uint64_t> host_hashes;
};

// Hosts that may send to one cold endpoint.
inline constexpr size_t kWarmupSenders = 3;

struct PlacementRequest {
  const ServiceId* service = nullptr;
  const RequestRoute* route = nullptr;
  std::string_view affinity_key;  // Empty: the request concerns no object.
  uint64_t random = 0;            // Spreads requests without a key.
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
  double load = 0;       // Estimated requests on the endpoint.
};

Placement PlaceRequest(const EndpointSet& set,
                       const SteeringConfig& config,
                       const WarmupPacing& pacing,
                       const PlacementRequest& request,
                       Time now);

// Records that the request was sent, for the pacing of cold endpoints.
void OnPlaced(const SteeringConfig& config, EndpointView& endpoint, Time now);

}  // namespace sassafras

#endif  // ROUTING_PLACEMENT_H_
