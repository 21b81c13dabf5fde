#include "decisions/lookup.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace sassafras {

namespace {

// Clients of the same /24 network get the same hosts.
constexpr int kClientBlockShift = 8;
constexpr size_t kMaxHomeRegionHosts = 3;
constexpr int kFirstHostWeight = 100;
constexpr int kNextHostWeight = 10;
constexpr int kOtherRegionWeight = 1;

void AddOpenShards(LookupTable::RegionRow& row,
                   const RegionViews& views,
                   const Membership& m,
                   Time now) {
  row.generations.resize(kShardsPerRegion);
  for (size_t shard = 0; shard < views.shards.size(); ++shard) {
    const ShardView& view = views.shards[shard];
    row.generations[shard] = view.generation;
    if (StateOf(m, view.primary, now) != HostState::kLive)
      continue;
    if (StateOf(m, view.backup, now) != HostState::kLive)
      continue;
    row.open_shards[view.primary].push_back(static_cast<int>(shard));
  }
}

struct Scored {
  uint64_t score = 0;
  const Host* host = nullptr;
};

// Up to `count` hosts with the highest rendezvous scores for the client block,
// highest first.
std::vector<const Host*> BestHosts(const LookupTable::RegionRow& row,
                                   uint64_t block,
                                   size_t count) {
  std::array<Scored, kMaxHomeRegionHosts> best;
  count = std::min(count, best.size());
  for (const Host& it : row.hosts) {
    Scored candidate{HashPair(block, HashText(it.id.value())), &it};
    for (size_t n = 0; n < count; ++n) {
      if (!best[n].host || candidate.score > best[n].score)
        std::swap(candidate, best[n]);
      if (!candidate.host)
        break;
    }
  }
  std::vector<const Host*> out;
  for (size_t n = 0; n < count && best[n].host; ++n)
    out.push_back(best[n].host);
  return out;
}

std::string MintPrefix(const LookupTable::RegionRow& row,
                       const RegionId& region,
                       const HostId& first_host,
                       uint64_t draw) {
  // If the host that gets the call is the shard's primary, it needs no request
  // to another host to begin the key.
  auto it = row.open_shards.find(first_host);
  if (it == row.open_shards.end()) {
    if (row.open_shards.empty())
      return "";
    it = row.open_shards.begin();
    std::advance(it, draw % row.open_shards.size());
  }
  const std::vector<int>& shards = it->second;
  const int shard = shards[(draw >> 32) % shards.size()];
  return KeyPrefix(region, shard, row.generations[static_cast<size_t>(shard)]);
}

// The client's region if it has live hosts, otherwise a live region chosen by
// the client's block; null if there is none.
const RegionId* ServingRegion(const LookupTable& table,
                              const RegionId* home,
                              uint64_t block) {
  if (home && table.regions.count(*home))
    return home;
  if (table.live_regions.empty())
    return nullptr;
  return &table.live_regions[block % table.live_regions.size()];
}

}  // namespace

LookupTable BuildLookupTable(const Membership& m,
                             const std::map<RegionId, RegionViews>& views,
                             Time now) {
  LookupTable table;
  for (Host& it : LiveHosts(m, now))
    table.regions[it.region].hosts.push_back(it);
  for (auto& [region, row] : table.regions) {
    table.live_regions.push_back(region);
    const auto it = views.find(region);
    if (it != views.end())
      AddOpenShards(row, it->second, m, now);
  }
  return table;
}

LookupAnswer LookUp(const LookupTable& table,
                    const Topology& topology,
                    uint32_t client_ip,
                    uint64_t draw) {
  LookupAnswer answer;
  const uint64_t block = HashPair(client_ip >> kClientBlockShift, 0);
  const RegionId* home = RegionOfClient(topology.client_blocks, client_ip);
  const RegionId* region = ServingRegion(table, home, block);
  if (!region)
    return answer;
  const LookupTable::RegionRow& row = table.regions.at(*region);
  for (const Host* it : BestHosts(row, block, kMaxHomeRegionHosts)) {
    const int weight =
        answer.hosts.empty() ? kFirstHostWeight : kNextHostWeight;
    answer.hosts.push_back({it->id, it->caller_address, weight});
  }
  if (table.live_regions.size() > 1) {
    const size_t at = block % table.live_regions.size();
    const RegionId& other =
        table.live_regions[at] == *region
            ? table.live_regions[(at + 1) % table.live_regions.size()]
            : table.live_regions[at];
    for (const Host* it : BestHosts(table.regions.at(other), block, 1))
      answer.hosts.push_back({it->id, it->caller_address, kOtherRegionWeight});
  }
  if (!answer.hosts.empty())
    answer.key_prefix =
        MintPrefix(row, *region, answer.hosts.front().host, draw);
  return answer;
}

}  // namespace sassafras
