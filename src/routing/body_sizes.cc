#include "routing/body_sizes.h"

#include <algorithm>

namespace sassafras {

namespace {

// Limits the weight of a new sample to 1/200, so that the mean changes slowly
// and all hosts classify a route in the same way.
constexpr size_t kMaxMeanSamples = 200;

}  // namespace

void OnBodySize(BodySizes& sizes, const std::string& route, uint64_t bytes) {
  MeanBodySize& mean = sizes[route];
  mean.samples = std::min(mean.samples + 1, kMaxMeanSamples);
  mean.bytes += (static_cast<double>(bytes) - mean.bytes) /
                static_cast<double>(mean.samples);
}

bool HasLargeBodies(const BodySizes& sizes, const RequestRoute& route) {
  const auto it = sizes.find(route.name);
  if (it == sizes.end())
    return route.kind == RouteKind::kUpload ||
           route.kind == RouteKind::kDownload;
  return it->second.bytes >= kMinLargeBodyBytes;
}

}  // namespace sassafras
