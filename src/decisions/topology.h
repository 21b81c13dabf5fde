// Hosts, zones, endpoints, services and routes of a deployment.
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

// An entry host in the platform's list, which may be out of date.
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

// An endpoint in the platform's list.
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

// A CIDR block of client addresses and the region nearest to it.
struct ClientBlock {
  uint32_t first_ip = 0;
  int prefix_bits = 0;
  RegionId region;
};

// Settings of the requests of a service with one method and path prefix.
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
  // A 503 response with this header guarantees that the request was not
  // executed. Empty if the service's endpoints give no such guarantee.
  std::string shed_header;
};

struct Zone {
  ZoneId id;
  RegionId region;
};

// The static part of a deployment, which every process reads from its
// settings.
struct Topology {
  std::vector<RegionId> regions;
  std::vector<Zone> zones;
  std::vector<ClientBlock> client_blocks;  // Sorted by SortClientBlocks().
  std::map<ServiceId, Service> services;
};

// Sorts blocks into the order that RegionOfClient() requires.
void SortClientBlocks(std::vector<ClientBlock>& blocks);

// The region of the most specific block that contains `ip`, or null. `blocks`
// must be sorted by SortClientBlocks().
const RegionId* RegionOfClient(const std::vector<ClientBlock>& blocks,
                               uint32_t ip);

// The region of `zone`, or null if the zone is unknown.
const RegionId* RegionOfZone(const Topology& topology, const ZoneId& zone);

// The route for `method` with the longest path prefix that matches `path`, or
// null.
const Route* FindRoute(const Service& service,
                       std::string_view method,
                       std::string_view path);

}  // namespace sassafras

#endif  // DECISIONS_TOPOLOGY_H_
