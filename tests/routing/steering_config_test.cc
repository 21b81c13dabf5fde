#include "routing/steering_config.h"

#include <gtest/gtest.h>

#include "base/hash.h"

namespace sassafras {
namespace {

RequestRoute MakeRoute(const std::string& name, const std::string& prefix) {
  RequestRoute route;
  route.name = name;
  route.path_prefix = prefix;
  route.traffic_shares = {{ServiceId("s"), 1.0}};
  return route;
}

TEST(SteeringConfigTest, LongestPrefixOfTheHostNameMatches) {
  SteeringConfig config;
  config.hosts["a.example"] = {MakeRoute("short", "/x/"),
                               MakeRoute("long", "/x/y/")};
  config.hosts["b.example"] = {MakeRoute("other", "/x/")};
  SortRoutes(config);
  struct Case {
    const char* host;
    const char* path;
    const char* route;  // Empty if none matches.
  };
  const std::vector<Case> cases = {
      {"a.example", "/x/y/1", "long"},     {"a.example", "/x/1", "short"},
      {"a.example:8080", "/x/1", "short"}, {"A.EXAMPLE", "/x/1", "short"},
      {"b.example", "/x/y/1", "other"},    {"a.example", "/x", ""},
      {"a.example", "/xy/1", ""},          {"c.example", "/x/1", ""},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(std::string(it.host) + it.path);
    const RequestRoute* route = FindRoute(config, it.host, it.path);
    EXPECT_EQ(route ? route->name : "", it.route);
  }
}

TEST(SteeringConfigTest, TrafficIsSplitByWeight) {
  RequestRoute route = MakeRoute("r", "/");
  route.traffic_shares = {{ServiceId("a"), 90}, {ServiceId("b"), 10}};
  int to_b = 0;
  constexpr int kRequests = 20000;
  for (int i = 0; i < kRequests; ++i)
    to_b += ChooseService(route, HashText(std::to_string(i))) == ServiceId("b");
  // The platform's specification allows a deviation of 0.1; an even hash stays
  // far below it.
  EXPECT_NEAR(to_b / static_cast<double>(kRequests), 0.1, 0.02);
}

TEST(SteeringConfigTest, ShareWithZeroWeightGetsNoRequests) {
  RequestRoute route = MakeRoute("r", "/");
  route.traffic_shares = {{ServiceId("a"), 0}, {ServiceId("b"), 1}};
  for (int i = 0; i < 1000; ++i)
    EXPECT_EQ(ChooseService(route, HashText(std::to_string(i))),
              ServiceId("b"));
}

}  // namespace
}  // namespace sassafras
