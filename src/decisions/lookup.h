// Answers the look-ups of callers: which entry hosts to use, and a prefix for
// new idempotency keys.
#ifndef DECISIONS_LOOKUP_H_
#define DECISIONS_LOOKUP_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/membership.h"
#include "decisions/shard_views.h"
#include "decisions/topology.h"

namespace sassafras {

// Time for which callers may cache a look-up answer.
constexpr std::chrono::seconds kLookupTtl{5};

struct LookupHost {
  HostId host;
  Address address;
  int weight = 0;  // Relative to the others; highest for the first host.
};

struct LookupAnswer {
  std::vector<LookupHost> hosts;
  std::chrono::seconds ttl = kLookupTtl;
  // Prefix for new idempotency keys; empty while no shard of the serving
  // region has two live holders.
  std::string key_prefix;
};

// Index of the live hosts that makes look-ups fast. Rebuilt when membership or
// views change, read by every look-up.
struct LookupTable {
  struct RegionRow {
    std::vector<Host> hosts;
    // Shards that take new keys, by primary.
    std::map<HostId, std::vector<int>> open_shards;
    std::vector<Generation> generations;  // Indexed by shard.
  };
  std::map<RegionId, RegionRow> regions;
  // Regions with live hosts, sorted by ID. A client whose region has none is
  // assigned one of them by its network.
  std::vector<RegionId> live_regions;
};

LookupTable BuildLookupTable(const Membership& m,
                             const std::map<RegionId, RegionViews>& views,
                             Time now);

// Answers a client's look-up. `draw` is a random number that selects among
// equally suitable shards.
LookupAnswer LookUp(const LookupTable& table,
                    const Topology& topology,
                    uint32_t client_ip,
                    uint64_t draw);

}  // namespace sassafras

#endif  // DECISIONS_LOOKUP_H_
