// Rendezvous hashing: every process that knows the same candidates ranks them
// alike, and the loss of one candidate moves only what it held.
#ifndef DECISIONS_RENDEZVOUS_H_
#define DECISIONS_RENDEZVOUS_H_

#include <string_view>
#include <vector>

#include "base/ids.h"

namespace sassafras {

// `hosts` ordered by their rank for `topic`, best first.
std::vector<HostId> RankHosts(std::vector<HostId> hosts,
                              std::string_view topic);

// The best host for `topic`; empty if there is none.
HostId TopHost(const std::vector<HostId>& hosts, std::string_view topic);

}  // namespace sassafras

#endif  // DECISIONS_RENDEZVOUS_H_
