// Selects the hosts that a caller is told to connect to.
//
// Handles callers that are spread evenly over availability zones whose hosts
// differ in number and size, and hosts that start and stop. Callers send to the
// named hosts for seconds, so those of other regions are named only where the
// routes' home regions leave no better choice.
#ifndef ROUTING_DIRECTORY_H_
#define ROUTING_DIRECTORY_H_

#include <map>
#include <string>
#include <vector>

#include "base/address.h"
#include "routing/host_members.h"
#include "routing/steering_config.h"

namespace sassafras {

struct DirectoryQuery {
  RegionId region;
  ZoneId zone;
  std::string host_name;  // To which the caller will send requests.
};

struct DirectoryView {
  const HostMembers* members = nullptr;
  // Region of each availability zone.
  const std::map<ZoneId, RegionId>* regions = nullptr;
  // Null: not known yet; the routes of a host name may then have homes.
  const SteeringConfig* config = nullptr;
  // See KnowsHosts().
  bool knows_hosts = true;
};

// Callers use at most this many addresses of one answer.
inline constexpr size_t kMaxAddresses = 64;
// If a zone has fewer hosts than this, its callers are sent to all hosts of the
// region.
inline constexpr size_t kMinZoneHosts = 2;

// Returns the addresses of live, ready hosts, at most kMaxAddresses: those of
// the caller's zone if there are at least kMinZoneHosts, else those of its
// region. If that has none, those in CommonHomes() of the host name, else those
// in AllHomes() of it, else all.
//
// Empty if no host is ready. For a name with homes also empty, instead of hosts
// outside the caller's region, if that is known and this host does not know the
// others yet, or if no host is in the common homes and the region's hosts are
// stopping in order or starting.
std::vector<Address> FindHosts(const DirectoryView& view,
                               const DirectoryQuery& query,
                               Time now);

}  // namespace sassafras

#endif  // ROUTING_DIRECTORY_H_
