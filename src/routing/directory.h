// Selects the hosts that a caller is told to connect to.
//
// Handles callers that are spread evenly over availability zones whose hosts
// differ in number and size, and hosts that start and stop.
#ifndef ROUTING_DIRECTORY_H_
#define ROUTING_DIRECTORY_H_

#include <map>
#include <vector>

#include "base/address.h"
#include "routing/host_members.h"

namespace sassafras {

struct DirectoryQuery {
  RegionId region;
  ZoneId zone;
};

struct DirectoryView {
  const HostMembers* members = nullptr;
  // Region of each availability zone.
  const std::map<ZoneId, RegionId>* regions = nullptr;
};

// Callers use at most this many addresses of one answer.
inline constexpr size_t kMaxAddresses = 64;
// If a zone has fewer hosts than this, its callers are sent to all hosts of the
// region.
inline constexpr size_t kMinZoneHosts = 2;

// Returns the addresses of live, ready hosts, at most kMaxAddresses: those of
// the caller's zone if there are at least kMinZoneHosts, else those of its
// region, else all. Empty if no host is ready.
std::vector<Address> FindHosts(const DirectoryView& view,
                               const DirectoryQuery& query,
                               Time now);

}  // namespace sassafras

#endif  // ROUTING_DIRECTORY_H_
