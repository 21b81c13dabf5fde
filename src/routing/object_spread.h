// Decides how many endpoints share the requests for one object.
//
// Handles services with many endpoints and objects of different popularity. If
// each object has one endpoint by hashing, some endpoints get several popular
// objects and are overloaded while others idle, and a host sees too few load
// reports to notice. With two endpoints for each object, a host takes the less
// loaded one. The price is that each endpoint serves twice as many objects,
// which must fit into its cache.
#ifndef ROUTING_OBJECT_SPREAD_H_
#define ROUTING_OBJECT_SPREAD_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <unordered_map>

namespace sassafras {

// Requests that a sample holds.
inline constexpr size_t kMaxSampledRequests = 256;

// The objects of this host's last requests to one service.
struct ObjectSample {
  std::deque<uint64_t> keys;  // Hashes of the object ids, oldest first.
  std::unordered_map<uint64_t, uint32_t> counts;  // By hash.
  uint64_t equal_pairs = 0;  // Pairs of requests for the same object.
};

void OnObjectRequested(ObjectSample& sample, uint64_t key_hash);

// Estimates the number of objects that all hosts' requests concern, from how
// often two requests of the sample concern the same one. Infinite as long as
// the sample is small, and too low if few objects get most requests.
double EstimateObjects(const ObjectSample& sample);

// Number of endpoints for each of `objects` objects on `endpoints` endpoints: 2
// if the caches are likely to hold them, otherwise 1.
size_t EndpointsPerObject(double objects, size_t endpoints);

}  // namespace sassafras

#endif  // ROUTING_OBJECT_SPREAD_H_
