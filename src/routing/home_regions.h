// Home regions: the regions whose endpoints may get the requests of a route.
//
// Endpoints normalize paths: they decode escapes, remove dot segments and merge
// slashes, some of this or all, in different orders. A path that is equivalent
// to one of another route is also bound by the homes of that route.
#ifndef ROUTING_HOME_REGIONS_H_
#define ROUTING_HOME_REGIONS_H_

#include <string_view>
#include <vector>

#include "base/ids.h"
#include "routing/steering_config.h"

namespace sassafras {

struct HomeRegions {
  bool is_bound = false;  // Otherwise all regions are allowed.
  std::vector<RegionId> regions;
};

// Removes from `homes` what `other` does not allow.
void Restrict(HomeRegions& homes, const HomeRegions& other);

// No region if the route is unreadable.
HomeRegions HomesOfRoute(const RequestRoute& route);

// Homes of a request: those that the routes of its path (without query) and of
// all equivalent paths have in common.
HomeRegions HomesOfRequest(const SteeringConfig& config,
                           std::string_view host,
                           std::string_view path);

// Regions that are homes of every route of `host` that has homes.
HomeRegions CommonHomes(const SteeringConfig& config, std::string_view host);

// Regions that are homes of any route of `host`.
HomeRegions AllHomes(const SteeringConfig& config, std::string_view host);

// Whether `region` is allowed. An unknown region, which is empty, is only
// allowed where all are.
bool IsHome(const HomeRegions& homes, const RegionId& region);

}  // namespace sassafras

#endif  // ROUTING_HOME_REGIONS_H_
