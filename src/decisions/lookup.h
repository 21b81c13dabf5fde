// Answers to callers that ask which entry hosts to use.
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

// How long callers may cache a look-up's answer.
constexpr std::chrono::seconds kLookupTtl{5};

struct LookupHost {
  HostId host;
  Address address;
  int weight = 0;  // Relative; the first host has the highest.
};

struct LookupAnswer {
  std::vector<LookupHost> hosts;
  std::chrono::seconds ttl = kLookupTtl;
  // Prefix for idempotency keys; empty while no shard of the home region has
  // two live holders.
  std::string key_prefix;
};

// The live hosts, arranged for fast answers. Rebuilt when membership or views
// change, read at every look-up.
struct LookupTable {
  struct RegionRow {
    std::vector<Host> hosts;
    // Shards that take new keys, by primary.
    std::map<HostId, std::vector<int>> open_shards;
    std::vector<Generation> generations;  // Indexed by shard.
  };
  std::map<RegionId, RegionRow> regions;
  // All regions with live hosts, in the order in which they stand in for a
  // lost one.
  std::vector<RegionId> live_regions;
};

LookupTable BuildLookupTable(const Membership& m,
                             const std::map<RegionId, RegionViews>& views,
                             Time now);

// The answer for a client. `draw` picks among equal shards.
LookupAnswer LookUp(const LookupTable& table,
                    const Topology& topology,
                    uint32_t client_ip,
                    uint64_t draw);

}  // namespace sassafras

#endif  // DECISIONS_LOOKUP_H_
