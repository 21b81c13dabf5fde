// Settings of a gateway process: its location and addresses, the resource
// limits of its host, and the bounds that apply to all hosts together.
#ifndef GATEWAY_GATEWAY_SETTINGS_H_
#define GATEWAY_GATEWAY_SETTINGS_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/address.h"
#include "base/ids.h"
#include "base/time.h"
#include "routing/attempt.h"

namespace sassafras {

struct GatewaySettings {
  HostId host;
  RegionId region;
  ZoneId zone;
  std::string ip;
  // The region of each availability zone.
  std::map<ZoneId, RegionId> regions;

  Address caller_address;     // Where callers' requests arrive.
  Address readiness_address;  // Where the platform asks if the host is ready.
  Address directory_address;  // Where callers ask for hosts.
  // Where operators read metrics and the state dump; optional.
  std::optional<Address> operator_address;
  uint16_t gossip_port = 0;           // UDP; the same on all hosts.
  uint16_t peer_port = 0;             // TCP; the same on all hosts.
  std::vector<std::string> seed_ips;  // Hosts that gossip starts with.
  Address store_address;

  double cpu_share = 1.0;     // Of a core.
  double link_mbps = 1000.0;  // Of the host's own network link.
  uint64_t max_sockets = 1024;
  uint64_t memory_bytes = 256ULL << 20;

  RetryBound retry_bound;
  // How long callers may use a directory answer.
  Duration directory_ttl = std::chrono::seconds(2);
  // Time from SIGTERM to the platform's SIGKILL.
  Duration stop_timeout = std::chrono::seconds(6);
};

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_SETTINGS_H_
