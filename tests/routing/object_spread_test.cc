#include "routing/object_spread.h"

#include <gtest/gtest.h>

#include <random>

#include "base/hash.h"

namespace sassafras {
namespace {

ObjectSample SampleOf(uint64_t objects, size_t requests) {
  std::mt19937_64 random(11);
  ObjectSample sample;
  for (size_t i = 0; i < requests; ++i)
    OnObjectRequested(sample, HashPair(random() % objects, 1));
  return sample;
}

TEST(ObjectSpreadTest, EstimateIsNearTheNumberOfObjects) {
  for (const uint64_t objects : {1, 20, 150, 1000}) {
    SCOPED_TRACE(objects);
    const double estimate = EstimateObjects(SampleOf(objects, 2000));
    EXPECT_GT(estimate, 0.6 * static_cast<double>(objects));
    EXPECT_LT(estimate, 1.5 * static_cast<double>(objects));
  }
}

// A host that has just started must not spread objects.
TEST(ObjectSpreadTest, SmallSamplesShowNothing) {
  const double estimate = EstimateObjects(SampleOf(1, 5));
  EXPECT_EQ(EndpointsPerObject(estimate, 1000), 1U);
}

TEST(ObjectSpreadTest, SampleIsBoundedAndConsistent) {
  const ObjectSample sample = SampleOf(50, 5000);
  EXPECT_EQ(sample.keys.size(), kMaxSampledRequests);
  uint64_t pairs = 0;
  uint64_t requests = 0;
  for (const auto& [key, n] : sample.counts) {
    pairs += uint64_t{n} * (n - 1) / 2;
    requests += n;
  }
  EXPECT_EQ(pairs, sample.equal_pairs);
  EXPECT_EQ(requests, kMaxSampledRequests);
}

// A change of the requests shows after one sample's length.
TEST(ObjectSpreadTest, EstimateFollowsTheLastRequests) {
  ObjectSample sample = SampleOf(5, 1000);
  for (uint64_t i = 0; i < kMaxSampledRequests; ++i)
    OnObjectRequested(sample, HashPair(i, 2));
  EXPECT_EQ(sample.equal_pairs, 0U);
  EXPECT_GT(EstimateObjects(sample), 10000);
}

TEST(ObjectSpreadTest, SecondEndpointOnlyIfCachesHoldTheObjects) {
  struct Case {
    const char* name;
    double objects;
    size_t endpoints;
    size_t expected;
  };
  const std::vector<Case> cases = {
      {"no endpoint", 10, 0, 1},
      {"few endpoints", 10, 20, 1},
      {"few objects on many endpoints", 20, 70, 2},
      {"many objects for their endpoints", 900, 112, 1},
      {"several objects for each of many endpoints", 1400, 573, 1},
      {"fewer objects than endpoints", 270, 327, 2},
      {"no object", 0, 70, 2},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.name);
    EXPECT_EQ(EndpointsPerObject(it.objects, it.endpoints), it.expected);
  }
}

}  // namespace
}  // namespace sassafras
