#include "decisions/rendezvous.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "base/hash.h"

namespace sassafras {

std::vector<HostId> RankHosts(std::vector<HostId> hosts,
                              std::string_view topic) {
  const uint64_t seed = HashText(topic);
  std::vector<std::pair<uint64_t, HostId>> scored;
  scored.reserve(hosts.size());
  for (HostId& it : hosts) {
    const uint64_t score = HashText(it.value(), seed);
    scored.emplace_back(score, std::move(it));
  }
  std::sort(scored.begin(), scored.end(),
            [](const auto& a, const auto& b) { return b < a; });
  hosts.clear();
  for (auto& it : scored)
    hosts.push_back(std::move(it.second));
  return hosts;
}

HostId TopHost(const std::vector<HostId>& hosts, std::string_view topic) {
  const uint64_t seed = HashText(topic);
  const HostId* best = nullptr;
  uint64_t best_score = 0;
  for (const HostId& it : hosts) {
    const uint64_t score = HashText(it.value(), seed);
    if (!best || score > best_score || (score == best_score && *best < it)) {
      best = &it;
      best_score = score;
    }
  }
  return best ? *best : HostId();
}

}  // namespace sassafras
