#include "routing/home_regions.h"

#include <gtest/gtest.h>

namespace sassafras {
namespace {

const RegionId kA("a");
const RegionId kB("b");
const RegionId kC("c");

RequestRoute MakeRoute(const std::string& prefix, std::vector<RegionId> homes) {
  RequestRoute route;
  route.name = prefix;
  route.path_prefix = prefix;
  route.home_regions = std::move(homes);
  route.traffic_shares = {{ServiceId("s"), 1.0}};
  return route;
}

SteeringConfig MakeConfig(std::vector<RequestRoute> routes) {
  SteeringConfig config;
  config.hosts["h"] = std::move(routes);
  SortRoutes(config);
  return config;
}

TEST(HomeRegionsTest, PathIsBoundByEachRouteThatItMayMean) {
  const SteeringConfig config = MakeConfig({
      MakeRoute("/", {}),
      MakeRoute("/x/", {kA, kB}),
      MakeRoute("/x/y/", {kB, kC}),
      MakeRoute("/open/", {}),
  });
  struct Case {
    const char* path;
    bool is_bound;
    std::vector<RegionId> regions;
  };
  const std::vector<Case> cases = {
      {"/open/1", false, {}},
      {"/xy/1", false, {}},
      {"/x", false, {}},
      {"/x/1", true, {kA, kB}},
      {"/x/y/1", true, {kB, kC}},
      {"/x/y", true, {kA, kB}},
      {"/%78/1", true, {kA, kB}},
      {"//x/1", true, {kA, kB}},
      {"/open/../x/1", true, {kA, kB}},
      {"/open/%2e%2E/x/1", true, {kA, kB}},
      {"/open/%2e%2e%2fx%2f1", true, {kA, kB}},
      {"/./x/1", true, {kA, kB}},
      {"/../x/1", true, {kA, kB}},
      {"/open//../x/1", true, {kA, kB}},
      {"/open/%2e/../../%78/1", true, {kA, kB}},
      {"/open/%252e%252e/x/1", true, {kA, kB}},
      {"/open/./%2e/1", false, {}},
      // Either reading, since endpoints differ.
      {"/x/%79/1", true, {kB}},
      {"/x//y/1", true, {kB}},
      {"/x/y/../1", true, {kB}},
      {"/x/../open/1", true, {kA, kB}},
      // No escapes.
      {"/%7", false, {}},
      {"/%zz/x/1", false, {}},
      {"/open/..x/1", false, {}},
  };
  for (const Case& it : cases) {
    SCOPED_TRACE(it.path);
    const HomeRegions homes = HomesOfRequest(config, "h", it.path);
    EXPECT_EQ(homes.is_bound, it.is_bound);
    EXPECT_EQ(homes.regions, it.regions);
  }
}

TEST(HomeRegionsTest, PathWithTooManySpellingsIsBoundByAllRoutes) {
  const SteeringConfig config = MakeConfig(
      {MakeRoute("/", {}), MakeRoute("/x/", {kA, kB}), MakeRoute("/y/", {kB})});
  std::string path = "/%";
  for (int i = 0; i < 80; ++i)
    path += "25";
  path += "78/1";
  const HomeRegions homes = HomesOfRequest(config, "h", path);
  EXPECT_TRUE(homes.is_bound);
  EXPECT_EQ(homes.regions, std::vector<RegionId>{kB});
}

TEST(HomeRegionsTest, RoutesWithoutACommonHomeAllowNoRegion) {
  const SteeringConfig config =
      MakeConfig({MakeRoute("/x/", {kA}), MakeRoute("/x/y/", {kB})});
  const HomeRegions homes = HomesOfRequest(config, "h", "/x//y/1");
  EXPECT_TRUE(homes.is_bound);
  for (const RegionId& it : {kA, kB, kC})
    EXPECT_FALSE(IsHome(homes, it));
}

TEST(HomeRegionsTest, UnknownRegionIsNoHome) {
  EXPECT_TRUE(IsHome({false, {}}, RegionId()));
  EXPECT_FALSE(IsHome({true, {kA, RegionId()}}, RegionId()));
}

TEST(HomeRegionsTest, CommonHomesAreThoseOfEveryRouteThatHasSome) {
  const SteeringConfig config =
      MakeConfig({MakeRoute("/", {}), MakeRoute("/x/", {kA, kB}),
                  MakeRoute("/y/", {kB, kC})});
  EXPECT_EQ(CommonHomes(config, "H:8144").regions, std::vector<RegionId>{kB});
  EXPECT_FALSE(CommonHomes(config, "other").is_bound);
}

}  // namespace
}  // namespace sassafras
