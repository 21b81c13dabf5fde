// How many bytes the requests of a route carry, both ways.
//
// Answers to: bytes between regions, which are dear. What carries much stays
// in its callers' region.
#ifndef ROUTING_BODY_SIZES_H_
#define ROUTING_BODY_SIZES_H_

#include <cstdint>
#include <string>
#include <unordered_map>

#include "routing/steering_config.h"

namespace sassafras {

struct MeanBodySize {
  double bytes = 0;
  size_t samples = 0;
};

// By the name of the route; of requests that this host has seen answered.
using BodySizes = std::unordered_map<std::string, MeanBodySize>;

// Bodies of this size in all cost several times the bytes of both heads.
inline constexpr double kMinLargeBodyBytes = 2048;

// A request of the route was answered; its body and the answer's had `bytes`.
void OnBodySize(BodySizes& sizes, const std::string& route, uint64_t bytes);

// Whether requests of the route carry much as a rule. Of a route that has not
// been seen yet, uploads do.
bool HasLargeBodies(const BodySizes& sizes, const RequestRoute& route);

}  // namespace sassafras

#endif  // ROUTING_BODY_SIZES_H_
