#include "decisions/topology_settings.h"

namespace sassafras {

Topology MakeTopology(const Settings& settings) {
  Topology topology;
  for (const RegionSettings& region : settings.regions) {
    topology.regions.push_back(region.name);
    for (const ZoneId& zone : region.zones)
      topology.zones.push_back({zone, region.name});
    for (const RegionSettings::ClientBlock& it : region.client_blocks)
      topology.client_blocks.push_back(
          {it.first_ip, it.prefix_bits, region.name});
  }
  SortClientBlocks(topology.client_blocks);
  for (const ServiceSettings& it : settings.services) {
    Service service;
    service.id = it.name;
    service.shed_header = it.shed_header;
    for (const RouteSettings& route : it.routes) {
      service.routes.push_back({route.method, route.path, route.priority,
                                route.idempotent, route.timeout,
                                route.max_body_bytes});
    }
    topology.services[it.name] = std::move(service);
  }
  return topology;
}

Host MakeSelf(const Settings& settings) {
  Host host;
  host.id = settings.host->name;
  host.region = settings.host->region;
  host.zone = settings.host->zone;
  host.caller_address = settings.host->caller_address;
  host.peer_address = settings.host->peer_address;
  return host;
}

}  // namespace sassafras
