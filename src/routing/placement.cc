#include "routing/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/hash.h"

namespace sassafras {

namespace {

// Ranks of an object that may take its requests; more would spread an object
// over more endpoints than remember it.
constexpr size_t kCandidates = 3;
// Requests that wait in an endpoint's own queue, as a multiple of its slots,
// before it counts as full.
constexpr double kFullQueuePerSlot = 2.0;
// Requests that wait at an object's own endpoint, as a multiple of its slots,
// before the object goes elsewhere. An endpoint that has not handled it takes
// about three times as long, and forgets another object for it, so that waiting
// for one round of the slots is quicker for all.
constexpr double kSpillQueuePerSlot = 1.0;
// At most this share of a service's endpoints stays ejected.
constexpr double kMostEjected = 0.5;

// Of these, the most that lie in the first region.
constexpr size_t kHomeCandidates = 2;
// A region without spare capacity still comes last for some objects.
constexpr double kLeastPart = 1e-3;
constexpr double kLeastUnit = 1e-12;
constexpr uint64_t kRegionSeed = 1;

struct Candidate {
  const EndpointPtr* endpoint = nullptr;
  bool is_preferred = false;
  uint64_t rank = 0;       // Within its region.
  double region_rank = 0;  // Of its region.
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
bool IsWarmupSender(const PlacementContext& context,
                    const EndpointView& endpoint) {
  const uint64_t own = HashPair(endpoint.hash, context.own_hash);
  size_t ahead = 0;
  for (const uint64_t it : context.host_hashes) {
    if (HashPair(endpoint.hash, it) > own && ++ahead >= kWarmupSenders)
      return false;
  }
  return true;
}

bool MaySendCold(const PlacementContext& context,
                 const EndpointView& endpoint,
                 Time now) {
  return context.knows_hosts && now >= endpoint.next_cold_send &&
         IsWarmupSender(context, endpoint);
}

using Candidates = std::vector<Candidate>;

bool IsAvailable(const EndpointSet& set,
                 const EndpointView& endpoint,
                 const PlacementContext& context,
                 const PlacementRequest& request,
                 bool with_ejected,
                 Time now) {
  if (!IsUsable(set, endpoint, now) || !IsAllowed(*request.route, endpoint) ||
      IsTried(request, endpoint))
    return false;
  if (!with_ejected && now < endpoint.ejected_until)
    return false;
  return !IsCold(endpoint, now) || MaySendCold(context, endpoint, now);
}

// Rank of a region for an object: weighted rendezvous hashing, so that a
// change of the parts moves few objects.
double RegionRank(uint64_t key, const RegionId& region, double part) {
  const double unit =
      UnitInterval(HashPair(key, HashText(region.value(), kRegionSeed)));
  return part / -std::log(std::max(unit, kLeastUnit));
}

// Keeps the endpoints that come first for the object: those of the region
// that it falls to, then one of the next region.
Candidates TakeFirst(Candidates all,
                     const std::map<RegionId, double>& parts,
                     uint64_t key) {
  for (Candidate& it : all) {
    if (parts.empty())
      break;
    const RegionId& region = (*it.endpoint)->record.region;
    const auto part = parts.find(region);
    it.region_rank = RegionRank(
        key, region,
        part == parts.end() ? kLeastPart : std::max(part->second, kLeastPart));
  }
  std::sort(all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.region_rank, a.is_preferred, a.rank) >
           std::tie(b.region_rank, b.is_preferred, b.rank);
  });
  Candidates out;
  for (size_t i = 0; i < all.size() && out.size() < kCandidates; ++i) {
    const bool is_home = all[i].region_rank == all[0].region_rank;
    if (!is_home || out.size() < kHomeCandidates)
      out.push_back(all[i]);
  }
  // A region that is alone gives all candidates.
  for (size_t i = kHomeCandidates; i < all.size() && out.size() < kCandidates;
       ++i)
    out.push_back(all[i]);
  return out;
}

using Endpoints = std::vector<EndpointPtr>;

// Candidates among `preferred`, and behind these in each region `others`.
Candidates FindCandidates(const EndpointSet& set,
                          const Endpoints& preferred,
                          const Endpoints& others,
                          const PlacementContext& context,
                          const PlacementRequest& request,
                          bool with_ejected,
                          Time now) {
  const uint64_t key = request.affinity_key.empty()
                           ? request.random
                           : HashText(request.affinity_key);
  Candidates all;
  const auto add = [&](const Endpoints& endpoints, bool is_preferred) {
    for (const EndpointPtr& it : endpoints) {
      if (IsAvailable(set, *it, context, request, with_ejected, now))
        all.push_back({&it, is_preferred, HashPair(key, it->hash), 0});
    }
  };
  add(preferred, true);
  add(others, false);
  const double home_bias = request.is_heavy ? 1.0 : kHomeBias;
  return TakeFirst(std::move(all),
                   RegionParts(set, preferred, context, home_bias), key);
}

size_t CountEjected(const std::vector<EndpointPtr>& endpoints, Time now) {
  return static_cast<size_t>(std::count_if(
      endpoints.begin(), endpoints.end(),
      [&](const EndpointPtr& it) { return now < it->ejected_until; }));
}

// Long work waits for its object's own endpoint: in a flood, one that has to
// learn the object first takes several times as long, and forgets another.
Placement ChooseByRank(const Candidates& candidates, bool is_long, Time now) {
  const size_t n = is_long ? 1 : candidates.size();
  for (size_t i = 0; i < n; ++i) {
    const EndpointPtr& it = *candidates[i].endpoint;
    const double load = EstimatedLoad(*it, now);
    const double queue = i == 0 ? kSpillQueuePerSlot : 0.0;
    if (load < it->record.slots * (1.0 + queue)) {
      return {it,
              i == 0 ? PlacementReason::kPreferred : PlacementReason::kSpill,
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

std::map<RegionId, double> RegionParts(
    const EndpointSet& set,
    const std::vector<EndpointPtr>& endpoints,
    const PlacementContext& context,
    double home_bias) {
  std::map<RegionId, double> capacity;
  double total = 0;
  for (const EndpointPtr& it : endpoints) {
    if (!IsInUse(set, *it))
      continue;
    capacity[it->record.region] += it->record.slots;
    total += it->record.slots;
  }
  if (context.own_region.empty() || total <= 0)
    return {};
  // Of a region's share of the callers, what fits its share of the capacity
  // stays at home; the rest goes where capacity is left over.
  std::map<RegionId, double> parts;
  double spare = 0;
  for (const auto& [region, slots] : capacity) {
    const auto it = context.caller_shares.find(region);
    const double callers = it == context.caller_shares.end() ? 0.0 : it->second;
    parts[region] = std::max(0.0, slots / total - callers);
    if (region != context.own_region)
      spare += parts[region];
  }
  const auto own = context.caller_shares.find(context.own_region);
  const double own_callers =
      own == context.caller_shares.end() ? 0.0 : own->second;
  const double at_home =
      own_callers > 0
          ? std::min(1.0, capacity[context.own_region] / total / own_callers)
          : 1.0;
  for (auto& [region, part] : parts)
    part = spare > 0 ? (1.0 - at_home) * part / spare : 0.0;
  parts[context.own_region] = at_home;
  for (auto& [region, part] : parts)
    part = home_bias * part + (1.0 - home_bias) * capacity[region] / total;
  return parts;
}

Placement PlaceRequest(const EndpointSet& set,
                       const PlacementContext& context,
                       const PlacementRequest& request,
                       Time now) {
  const auto it = set.by_service.find(*request.service);
  if (it == set.by_service.end())
    return {};
  const std::vector<EndpointPtr>& endpoints = it->second;
  const double ejected = static_cast<double>(CountEjected(endpoints, now));
  const bool with_ejected =
      ejected > kMostEjected * static_cast<double>(endpoints.size());
  const Endpoints none;
  EndpointSplit split;
  const bool is_split = request.reserved_share > 0;
  if (is_split)
    split = SplitEndpoints(set, endpoints, request.reserved_share, now);
  const Endpoints& preferred = !is_split         ? endpoints
                               : request.is_long ? split.long_work
                                                 : split.urgent;
  const Endpoints& others =
      is_split && !request.is_long ? split.long_work : none;
  Candidates candidates = FindCandidates(set, preferred, others, context,
                                         request, with_ejected, now);
  // The reserve serves long requests when nothing else is left.
  if (candidates.empty() && is_split)
    candidates = FindCandidates(set, endpoints, none, context, request,
                                with_ejected, now);
  if (candidates.empty())
    candidates =
        FindCandidates(set, endpoints, none, context, request, true, now);
  if (candidates.empty())
    return {};
  Placement placement = request.affinity_key.empty() || !request.route->sticky
                            ? ChooseByLoad(candidates, now)
                            : ChooseByRank(candidates, request.is_long, now);
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
