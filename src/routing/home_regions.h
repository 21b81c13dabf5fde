// Home regions: the regions whose endpoints may get the requests of a route.
//
// A path may be spelled so that an endpoint, which resolves escapes, dot
// segments and repeated slashes, takes it for a path of another route. Such a
// request is bound by the homes of each route that it may mean.
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

// Restricts `homes` to those that the other one allows too.
void Restrict(HomeRegions& homes, const HomeRegions& other);

HomeRegions HomesOfRoute(const RequestRoute& route);

// Homes of a request, by all routes that its path (without query) may mean.
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
