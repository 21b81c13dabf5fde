// Rendezvous hashing: all processes with the same candidates rank them in the
// same order, and the loss of a candidate reassigns only the topics that it
// was first for.
#ifndef DECISIONS_RENDEZVOUS_H_
#define DECISIONS_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "base/ids.h"

namespace sassafras {

// Returns `hosts` sorted by their rank for `topic`, best first.
std::vector<HostId> RankHosts(std::vector<HostId> hosts,
                              std::string_view topic);

// The first-ranked host for `topic`; an empty id if `hosts` is empty.
HostId TopHost(const std::vector<HostId>& hosts, std::string_view topic);

}  // namespace sassafras

#endif  // DECISIONS_RENDEZVOUS_H_
