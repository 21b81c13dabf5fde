#include "routing/placement.h"

#include <algorithm>
#include <array>

#include "base/hash.h"

namespace sassafras {

namespace {

// Ranks of an object that may take its requests; more would spread an object
// over more endpoints than remember it.
constexpr size_t kCandidates = 3;
// Requests that wait in an endpoint's own queue, as a multiple of its slots,
// before it counts as full.
constexpr double kFullQueuePerSlot = 2.0;
// At most this share of a service's endpoints stays ejected.
constexpr double kMostEjected = 0.5;

struct Candidate {
  const EndpointPtr* endpoint = nullptr;
  uint64_t rank = 0;
};

bool IsAllowed(const RequestRoute& route, const EndpointView& endpoint) {
  return route.home_regions.empty() ||
         std::find(route.home_regions.begin(), route.home_regions.end(),
                   endpoint.record.region) != route.home_regions.end();
}

bool IsTried(const PlacementRequest& request, const EndpointView& endpoint) {
  return std::find(request.tried.begin(), request.tried.end(), &endpoint) !=
         request.tried.end();
}

// Whether this host is among those that may send to the cold endpoint.
bool IsWarmupSender(const WarmupPacing& pacing, const EndpointView& endpoint) {
  const uint64_t own = HashPair(endpoint.hash, pacing.own_hash);
  size_t ahead = 0;
  for (const uint64_t it : pacing.host_hashes) {
    if (HashPair(endpoint.hash, it) > own && ++ahead >= kWarmupSenders)
      return false;
  }
  return true;
}

bool MaySendCold(const WarmupPacing& pacing,
                 const EndpointView& endpoint,
                 Time now) {
  return now >= endpoint.next_cold_send && IsWarmupSender(pacing, endpoint);
}

using Candidates = std::vector<Candidate>;

Candidates FindCandidates(const EndpointSet& set,
                          const std::vector<EndpointPtr>& endpoints,
                          const WarmupPacing& pacing,
                          const PlacementRequest& request,
                          bool with_ejected,
                          Time now) {
  const uint64_t key = request.affinity_key.empty()
                           ? request.random
                           : HashText(request.affinity_key);
  Candidates out;
  for (const EndpointPtr& it : endpoints) {
    if (!IsUsable(set, *it, now) || !IsAllowed(*request.route, *it) ||
        IsTried(request, *it))
      continue;
    if (!with_ejected && now < it->ejected_until)
      continue;
    if (IsCold(*it, now) && !MaySendCold(pacing, *it, now))
      continue;
    out.push_back({&it, HashPair(key, it->hash)});
  }
  const size_t n = std::min(kCandidates, out.size());
  std::partial_sort(out.begin(), out.begin() + static_cast<ptrdiff_t>(n),
                    out.end(), [](const Candidate& a, const Candidate& b) {
                      return a.rank > b.rank;
                    });
  out.resize(n);
  return out;
}

size_t CountEjected(const std::vector<EndpointPtr>& endpoints, Time now) {
  return static_cast<size_t>(
      std::count_if(endpoints.begin(), endpoints.end(),
                    [&](const EndpointPtr& it) {
                      return now < it->ejected_until;
                    }));
}

Placement ChooseByRank(const Candidates& candidates, Time now) {
  for (size_t i = 0; i < candidates.size(); ++i) {
    const EndpointPtr& it = *candidates[i].endpoint;
    const double load = EstimatedLoad(*it, now);
    if (load < it->record.slots) {
      return {it, i == 0 ? PlacementReason::kPreferred : PlacementReason::kSpill,
              load};
    }
  }
  const EndpointPtr& first = *candidates.front().endpoint;
  return {first, PlacementReason::kPreferred, EstimatedLoad(*first, now)};
}

Placement ChooseByLoad(const Candidates& candidates, Time now) {
  Placement best;
  double best_share = 0;
  for (const Candidate& c : candidates) {
    const EndpointPtr& it = *c.endpoint;
    const double load = EstimatedLoad(*it, now);
    const double share = load / it->record.slots;
    if (!best.endpoint || share < best_share) {
      best = {it, PlacementReason::kLeastLoaded, load};
      best_share = share;
    }
  }
  return best;
}

}  // namespace

Placement PlaceRequest(const EndpointSet& set,
                       const SteeringConfig&,
                       const WarmupPacing& pacing,
                       const PlacementRequest& request,
                       Time now) {
  const auto it = set.by_service.find(*request.service);
  if (it == set.by_service.end())
    return {};
  const std::vector<EndpointPtr>& endpoints = it->second;
  const double ejected = static_cast<double>(CountEjected(endpoints, now));
  const bool with_ejected =
      ejected > kMostEjected * static_cast<double>(endpoints.size());
  Candidates candidates =
      FindCandidates(set, endpoints, pacing, request, with_ejected, now);
  if (candidates.empty())
    candidates = FindCandidates(set, endpoints, pacing, request, true, now);
  if (candidates.empty())
    return {};
  Placement placement = request.affinity_key.empty() || !request.route->sticky
                            ? ChooseByLoad(candidates, now)
                            : ChooseByRank(candidates, now);
  const double slots = placement.endpoint->record.slots;
  if (placement.load >= slots * (1.0 + kFullQueuePerSlot))
    return {nullptr, PlacementReason::kFull, placement.load};
  return placement;
}

void OnPlaced(const SteeringConfig& config, EndpointView& endpoint, Time now) {
  if (!IsCold(endpoint, now))
    return;
  const auto it = config.services.find(endpoint.record.service);
  if (it == config.services.end() || it->second.warmup_per_second <= 0)
    return;
  const double own_rate =
      it->second.warmup_per_second / static_cast<double>(kWarmupSenders);
  endpoint.next_cold_send = now + FromSeconds(1.0 / own_rate);
}

}  // namespace sassafras
