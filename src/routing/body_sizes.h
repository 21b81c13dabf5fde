// Mean size of the request and answer bodies of each route.
//
// Traffic between regions is expensive, so requests of routes with large bodies
// stay in the region of their callers.
#ifndef ROUTING_BODY_SIZES_H_
#define ROUTING_BODY_SIZES_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "routing/steering_config.h"

namespace sassafras {

struct MeanBodySize {
  double bytes = 0;  // Of the request and the answer together.
  size_t samples = 0;
};

// By route name, from the requests for which this host has seen an answer.
using BodySizes = std::unordered_map<std::string, MeanBodySize>;

// Smallest sum of both bodies that counts as large: several times the bytes of
// both heads.
inline constexpr double kMinLargeBodyBytes = 2048;

// Records an answered request of `route`. `bytes`: size of both bodies
// together.
void OnBodySize(BodySizes& sizes, const std::string& route, uint64_t bytes);

// Whether the bodies of the route's requests are large on average. A route that
// has not been seen yet has large bodies if it is an upload or download route.
bool HasLargeBodies(const BodySizes& sizes, const RequestRoute& route);

}  // namespace sassafras

#endif  // ROUTING_BODY_SIZES_H_
