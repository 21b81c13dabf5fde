#include "routing/home_regions.h"

#include <algorithm>

namespace sassafras {

HomeRegions HomesOfRoute(const RequestRoute& route) {
  return {!route.home_regions.empty(), route.home_regions};
}

bool IsHome(const HomeRegions& homes, const RegionId& region) {
  if (!homes.is_bound)
    return true;
  return !region.empty() &&
         std::find(homes.regions.begin(), homes.regions.end(), region) !=
             homes.regions.end();
}

}  // namespace sassafras
