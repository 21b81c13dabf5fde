// Which hosts a caller is told to connect to.
//
// Answers to: callers spread evenly over availability zones whose hosts differ
// in number and size, and hosts that come and go.
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
  // Regions of all availability zones.
  const std::map<ZoneId, RegionId>* regions = nullptr;
};

// Most addresses that a caller uses of one answer.
inline constexpr size_t kMaxAddresses = 64;
// Fewer hosts than this are not left to bear a zone's callers alone.
inline constexpr size_t kMinZoneHosts = 2;

// Addresses of hosts that are alive and ready: those of the caller's zone if
// there are enough, else those of its region, else all. Empty if none is.
std::vector<Address> FindHosts(const DirectoryView& view,
                               const DirectoryQuery& query,
                               Time now);

}  // namespace sassafras

#endif  // ROUTING_DIRECTORY_H_
