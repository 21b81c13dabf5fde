// Assigns the records of idempotency keys to the hosts that hold them.
//
// The keys of a home region are divided into shards. Each shard has a view: a
// primary and a backup, which change only by a conditional update of the
// region's views document. A host becomes primary of existing records only if
// it holds all of them. If no such host is left, the shard's generation is
// incremented, and keys minted under older generations are never run again.
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
  HostId backup;  // Empty while no second host is available.
  // The backup holds every record of the shard.
  bool backup_synced = false;
};

struct RegionViews {
  RegionId region;
  Version version;
  std::vector<ShardView> shards;  // Indexed by shard.
};

// Region and shard that hold the record of a key.
struct KeyHome {
  RegionId region;
  int shard = 0;
  // Generation under which a look-up minted the key's prefix; nullopt for a
  // key without such a prefix.
  std::optional<Generation> minted;
};

// Prefix of keys minted for a shard: "region.shard.generation.", with shard
// and generation in hexadecimal.
std::string KeyPrefix(const RegionId& region, int shard, Generation generation);

// Home of `key`, taken from its prefix or, without one, from its hash over
// `regions`, which must not be empty.
KeyHome HomeOfKey(const RequestKey& key, const std::vector<RegionId>& regions);

// State of the region's hosts from which the control process derives views.
struct ViewChangeInput {
  // Hosts of the region that answer heartbeats and are not stopping.
  std::vector<Host> live;
  // Hosts of the region that still answer but are stopping.
  std::set<HostId> leaving;
  // Shards whose primary reports that the backup has all records, with the
  // view number of the report.
  std::map<int, ViewNumber> synced;
};

// Returns the region's next views, with the next version after that of
// `views`, or nullopt if nothing has to change.
std::optional<RegionViews> ChangeViews(const RegionViews& views,
                                       const ViewChangeInput& input);

}  // namespace sassafras

#endif  // DECISIONS_SHARD_VIEWS_H_
