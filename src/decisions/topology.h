// Hosts, zones, endpoints and routes: the world that steering works on.
#ifndef DECISIONS_TOPOLOGY_H_
#define DECISIONS_TOPOLOGY_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"

namespace sassafras {

// An entry host as the platform lists it. The list lags.
struct Host {
  HostId id;
  RegionId region;
  ZoneId zone;
  Address caller_address;
  Address peer_address;
  bool leaving = false;
};

struct HostList {
  std::vector<Host> hosts;
};

// An endpoint as the platform lists it.
struct Endpoint {
  EndpointId id;
  ZoneId zone;
  Address address;
  int slots = 1;
  bool leaving = false;
};

// All endpoints of one service.
struct EndpointList {
  ServiceId service;
  std::vector<Endpoint> endpoints;
};

// A range of client addresses and the region nearest to it.
struct ClientBlock {
  uint32_t first_ip = 0;
  int prefix_bits = 0;
  RegionId region;
};

// How one kind of request of a service is treated.
struct Route {
  std::string method;  // Empty for any method.
  std::string path_prefix;
  Priority priority = Priority::kLow;
  bool idempotent = true;
  Duration default_timeout = std::chrono::seconds(10);
  uint64_t max_body_bytes = 0;
};

struct Service {
  ServiceId id;
  std::vector<Route> routes;
  // A 503 answer with this header proves that the request did not run. Empty
  // if the endpoint's contract has no such proof.
  std::string shed_header;
};

struct Zone {
  ZoneId id;
  RegionId region;
};

// What every process of a deployment reads from its settings.
struct Topology {
  std::vector<RegionId> regions;
  std::vector<Zone> zones;
  std::vector<ClientBlock> client_blocks;  // Sorted by SortClientBlocks().
  std::map<ServiceId, Service> services;
};

// Sorts blocks so that RegionOfClient() may search them.
void SortClientBlocks(std::vector<ClientBlock>& blocks);

// The region of the longest block that holds `ip`, or nothing.
const RegionId* RegionOfClient(const std::vector<ClientBlock>& blocks,
                               uint32_t ip);

// The zone's region, or nothing for an unknown zone.
const RegionId* RegionOfZone(const Topology& topology, const ZoneId& zone);

// The route of the longest matching prefix, or nothing.
const Route* FindRoute(const Service& service,
                       std::string_view method,
                       std::string_view path);

}  // namespace sassafras

#endif  // DECISIONS_TOPOLOGY_H_
