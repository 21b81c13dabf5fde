// Settings of a gateway process: where it stands, where it listens, what its
// host bears and which bounds hold over all hosts.
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
  std::map<ZoneId, RegionId> regions;  // Of all availability zones.

  Address caller_address;     // Where callers' requests arrive.
  Address readiness_address;  // Where the platform asks if the host is ready.
  Address directory_address;  // Where callers ask for hosts.
  // State dump, metrics, peers' snapshots.
  std::optional<Address> operator_address;
  uint16_t gossip_port = 0;  // UDP; the same on all hosts.
  uint16_t peer_port = 0;    // TCP; the same on all hosts.
  std::vector<std::string> seed_ips;
  Address store_address;

  double cpu_share = 1.0;  // Of a core.
  uint64_t max_sockets = 1024;
  uint64_t memory_bytes = 256ULL << 20;

  RetryBound retry_bound;
  // A longest age of a directory answer that counts.
  Duration directory_ttl = std::chrono::seconds(2);
  // From SIGTERM to SIGKILL.
  Duration stop_timeout = std::chrono::seconds(6);
};

}  // namespace sassafras

#endif  // GATEWAY_GATEWAY_SETTINGS_H_
