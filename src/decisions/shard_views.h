// Which hosts hold the records of which idempotency keys.
//
// The keys of a home region are split into shards. Each shard has a view: a
// primary and a backup, changed only by a conditional update of the region's
// views document. A host becomes primary of existing records only if it holds
// all of them; when no such host is left the shard's generation grows and keys
// minted under older generations are never run again.
#ifndef DECISIONS_SHARD_VIEWS_H_
#define DECISIONS_SHARD_VIEWS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/ids.h"
#include "decisions/topology.h"

namespace sassafras {

constexpr int kShardsPerRegion = 256;

struct ShardView {
  ViewNumber number;
  Generation generation;
  HostId primary;
  HostId backup;  // Empty while no second host is to be had.
  // The backup holds every record of the shard.
  bool backup_synced = false;
};

struct RegionViews {
  RegionId region;
  Version version;
  std::vector<ShardView> shards;  // Indexed by shard.
};

// Where the record of a key belongs.
struct KeyHome {
  RegionId region;
  int shard = 0;
  // Generation under which a look-up minted the key; nothing for a key that
  // carries no prefix of ours.
  std::optional<Generation> minted;
};

// Prefix of keys minted for a shard: "region.shard.generation.".
std::string KeyPrefix(const RegionId& region, int shard, Generation generation);

// Home of `key`: from its prefix, else by its hash over `regions`, which must
// not be empty.
KeyHome HomeOfKey(const RequestKey& key, const std::vector<RegionId>& regions);

// What the control process knows when it decides on views.
struct ViewChangeInput {
  // Hosts of the region that answer heartbeats and are not stopping.
  std::vector<Host> live;
  // Hosts of the region that still answer but are stopping.
  std::set<HostId> leaving;
  // Shards that their primary reports as fully copied, with the view number
  // to which the report belongs.
  std::map<int, ViewNumber> synced;
};

// The region's next views, or nothing if the present ones stand. The version
// of the result is the next one of `views`.
std::optional<RegionViews> ChangeViews(const RegionViews& views,
                                       const ViewChangeInput& input);

}  // namespace sassafras

#endif  // DECISIONS_SHARD_VIEWS_H_
