// Home regions: the regions whose endpoints may get the requests of a route.
#ifndef ROUTING_HOME_REGIONS_H_
#define ROUTING_HOME_REGIONS_H_

#include <vector>

#include "base/ids.h"
#include "routing/steering_config.h"

namespace sassafras {

struct HomeRegions {
  bool is_bound = false;  // Otherwise all regions are allowed.
  std::vector<RegionId> regions;
};

HomeRegions HomesOfRoute(const RequestRoute& route);

// Whether `region` is allowed. An unknown region, which is empty, is only
// allowed where all are.
bool IsHome(const HomeRegions& homes, const RegionId& region);

}  // namespace sassafras

#endif  // ROUTING_HOME_REGIONS_H_
