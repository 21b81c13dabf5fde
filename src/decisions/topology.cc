#include "decisions/topology.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr int kIpv4Bits = 32;

uint32_t MaskOf(int prefix_bits) {
  return prefix_bits == 0 ? 0 : ~uint32_t{0} << (kIpv4Bits - prefix_bits);
}

}  // namespace

void SortClientBlocks(std::vector<ClientBlock>& blocks) {
  std::sort(blocks.begin(), blocks.end(),
            [](const ClientBlock& a, const ClientBlock& b) {
              return a.first_ip != b.first_ip ? a.first_ip < b.first_ip
                                              : a.prefix_bits < b.prefix_bits;
            });
}

const RegionId* RegionOfClient(const std::vector<ClientBlock>& blocks,
                               uint32_t ip) {
  auto it = std::upper_bound(
      blocks.begin(), blocks.end(), ip,
      [](uint32_t a, const ClientBlock& b) { return a < b.first_ip; });
  // CIDR blocks nest and never overlap partially, so the first block found
  // backwards from `ip` that contains it has the longest prefix. The number of
  // steps is the number of sibling blocks nested before `ip`.
  while (it != blocks.begin()) {
    --it;
    if ((ip & MaskOf(it->prefix_bits)) == it->first_ip)
      return &it->region;
  }
  return nullptr;
}

const RegionId* RegionOfZone(const Topology& topology, const ZoneId& zone) {
  for (const Zone& it : topology.zones) {
    if (it.id == zone)
      return &it.region;
  }
  return nullptr;
}

const Route* FindRoute(const Service& service,
                       std::string_view method,
                       std::string_view path) {
  const Route* best = nullptr;
  for (const Route& it : service.routes) {
    if (!it.method.empty() && it.method != method)
      continue;
    if (path.substr(0, it.path_prefix.size()) != it.path_prefix)
      continue;
    if (!best || it.path_prefix.size() > best->path_prefix.size())
      best = &it;
  }
  return best;
}

}  // namespace sassafras
