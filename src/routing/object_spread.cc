#include "routing/object_spread.h"

#include <algorithm>
#include <limits>

namespace sassafras {

namespace {

// Objects per endpoint up to which each object may have two endpoints.
// Endpoints do not tell how many objects they keep. The smallest known caches
// hold eight; some endpoints get several times the mean, and objects that
// spill.
constexpr double kMaxObjectsPerEndpoint = 3;
// With fewer endpoints, a host sees enough load reports to notice that one is
// overloaded.
constexpr size_t kMinSpreadEndpoints = 24;
// A smaller sample shows nothing. Hosts that start would spread the objects of
// their first requests over endpoints that do not have them in their caches.
constexpr size_t kMinSampledRequests = 12;
// Stands for no equal pair, which does not show that there are any number of
// objects.
constexpr double kMinEqualPairs = 0.5;

}  // namespace

void OnObjectRequested(ObjectSample& sample, uint64_t key_hash) {
  if (sample.keys.size() >= kMaxSampledRequests) {
    const auto oldest = sample.counts.find(sample.keys.front());
    sample.equal_pairs -= --oldest->second;
    if (oldest->second == 0)
      sample.counts.erase(oldest);
    sample.keys.pop_front();
  }
  sample.equal_pairs += sample.counts[key_hash]++;
  sample.keys.push_back(key_hash);
}

double EstimateObjects(const ObjectSample& sample) {
  if (sample.keys.size() < kMinSampledRequests)
    return std::numeric_limits<double>::infinity();
  const auto n = static_cast<double>(sample.keys.size());
  const auto equal = static_cast<double>(sample.equal_pairs);
  return n * (n - 1) / 2 / std::max(equal, kMinEqualPairs);
}

size_t EndpointsPerObject(double objects, size_t endpoints) {
  const double each = 2 * objects / static_cast<double>(endpoints);
  return endpoints >= kMinSpreadEndpoints && each <= kMaxObjectsPerEndpoint ? 2
                                                                            : 1;
}

}  // namespace sassafras
