#include "routing/placement.h"

#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "base/hash.h"
#include "routing/object_spread.h"

namespace sassafras {

namespace {

// Endpoints that may take the requests of one object. With more, an object
// would be spread over endpoints that do not have it in their caches.
constexpr size_t kMaxCandidates = 3;
// Queued requests per slot at which an endpoint counts as full.
constexpr double kMaxQueuePerSlot = 2.0;
// Queued requests per slot at which the first candidate's requests spill to the
// next one. An endpoint that has not handled the object takes about three times
// as long and evicts another object from its cache, so waiting until every slot
// has run one request is faster for all requests.
constexpr double kSpillQueuePerSlot = 1.0;
// If more than this share of a service's endpoints is ejected, ejections are
// ignored.
constexpr double kMaxEjectedShare = 0.5;

// Most candidates from the object's first region, as long as other regions have
// endpoints for the remaining places.
constexpr size_t kMaxFirstRegionCandidates = 2;
// Keeps a region without spare capacity in the ranking, as the last choice for
// nearly all objects.
constexpr double kMinRegionWeight = 1e-3;
// Avoids the logarithm of zero.
constexpr double kMinUnitHash = 1e-12;
constexpr uint64_t kRegionHashSeed = 1;

struct Candidate {
  const EndpointPtr* endpoint = nullptr;
  bool is_preferred = false;
  uint64_t score = 0;  // Orders endpoints within a region; the highest wins.
  double region_score = 0;  // Orders regions; the highest wins.
};

bool IsTried(const PlacementRequest& request, const EndpointView& endpoint) {
  return std::find(request.tried.begin(), request.tried.end(), &endpoint) !=
         request.tried.end();
}

// Whether this host is one of the kMaxWarmupSenders hosts that may send to the
// cold endpoint. All hosts with the same `host_hashes` agree on them.
bool IsWarmupSender(const PlacementContext& context,
                    const EndpointView& endpoint) {
  const uint64_t own = HashPair(endpoint.hash, context.own_hash);
  size_t ahead = 0;
  for (const uint64_t it : context.host_hashes) {
    if (HashPair(endpoint.hash, it) > own && ++ahead >= kMaxWarmupSenders)
      return false;
  }
  return true;
}

bool MaySendToColdEndpoint(const PlacementContext& context,
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
  if (!IsEligible(set, endpoint, now) ||
      !IsHome(request.homes, endpoint.record.region) ||
      IsTried(request, endpoint))
    return false;
  if (!with_ejected && now < endpoint.ejected_until)
    return false;
  if (IsBusyResuming(endpoint))
    return false;
  return !IsCold(endpoint, now) ||
         MaySendToColdEndpoint(context, endpoint, now);
}

// Score of a region for an object by weighted rendezvous hashing, so that a
// change of the weights moves few objects.
double RegionScore(uint64_t key, const RegionId& region, double weight) {
  const double unit_hash =
      UnitInterval(HashPair(key, HashText(region.value(), kRegionHashSeed)));
  return weight / -std::log(std::max(unit_hash, kMinUnitHash));
}

// Returns the object's candidates, best first: up to kMaxFirstRegionCandidates
// of its first region, then endpoints of the next ones.
Candidates SelectCandidates(Candidates all,
                            const std::map<RegionId, double>& weights,
                            uint64_t key) {
  for (Candidate& it : all) {
    if (weights.empty())
      break;
    const RegionId& region = (*it.endpoint)->record.region;
    const auto weight = weights.find(region);
    it.region_score = RegionScore(
        key, region,
        weight == weights.end() ? kMinRegionWeight
                                : std::max(weight->second, kMinRegionWeight));
  }
  std::sort(all.begin(), all.end(), [](const Candidate& a, const Candidate& b) {
    return std::tie(a.region_score, a.is_preferred, a.score) >
           std::tie(b.region_score, b.is_preferred, b.score);
  });
  Candidates out;
  for (size_t i = 0; i < all.size() && out.size() < kMaxCandidates; ++i) {
    const bool is_first_region = all[i].region_score == all[0].region_score;
    if (!is_first_region || out.size() < kMaxFirstRegionCandidates)
      out.push_back(all[i]);
  }
  // If there is only one region, it provides all candidates.
  for (size_t i = kMaxFirstRegionCandidates;
       i < all.size() && out.size() < kMaxCandidates; ++i)
    out.push_back(all[i]);
  return out;
}

using Endpoints = std::vector<EndpointPtr>;

// Returns the candidates among `preferred` and `others`. In each region,
// `others` come after `preferred`.
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
  const double local_bias = request.has_large_bodies ? 1.0 : kLocalRegionBias;
  return SelectCandidates(
      std::move(all), RegionWeights(set, preferred, context, local_bias), key);
}

size_t CountEjected(const std::vector<EndpointPtr>& endpoints, Time now) {
  return static_cast<size_t>(std::count_if(
      endpoints.begin(), endpoints.end(),
      [&](const EndpointPtr& it) { return now < it->ejected_until; }));
}

double LoadPerSlot(const Candidate& candidate, Time now) {
  const EndpointView& it = **candidate.endpoint;
  return EstimatedLoad(it, now) / it.record.slots;
}

// Moves the less loaded one of the object's two own endpoints to the front. If
// their loads are equal or unknown, `random` decides.
void OrderOwnEndpoints(Candidates& candidates, uint64_t random, Time now) {
  if (candidates.size() < 2)
    return;
  Candidate& first = candidates[0];
  Candidate& second = candidates[1];
  // An endpoint of another region or outside the reserve is none of its own.
  if (first.region_score != second.region_score ||
      first.is_preferred != second.is_preferred)
    return;
  const double difference = LoadPerSlot(second, now) - LoadPerSlot(first, now);
  if (difference < 0 || (difference == 0 && random % 2 == 1))
    std::swap(first, second);
}

// Takes the first candidate that has room. Long work only considers the first
// candidate: under overload, any other endpoint would take several times as
// long for an object that it does not have in its cache, and evict another one.
Placement ChooseByAffinity(const Candidates& candidates,
                           bool is_long,
                           Time now) {
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

std::map<RegionId, double> RegionWeights(
    const EndpointSet& set,
    const std::vector<EndpointPtr>& endpoints,
    const PlacementContext& context,
    double local_bias) {
  std::map<RegionId, double> capacity;
  double total = 0;
  for (const EndpointPtr& it : endpoints) {
    if (!CountsAsCapacity(set, *it))
      continue;
    capacity[it->record.region] += it->record.slots;
    total += it->record.slots;
  }
  if (context.own_region.empty() || total <= 0)
    return {};
  // Requests of the own region stay there up to its share of the capacity. The
  // rest goes to other regions in proportion to their spare capacity.
  std::map<RegionId, double> weights;
  double spare = 0;
  for (const auto& [region, slots] : capacity) {
    const auto it = context.caller_shares.find(region);
    const double caller_share =
        it == context.caller_shares.end() ? 0.0 : it->second;
    weights[region] = std::max(0.0, slots / total - caller_share);
    if (region != context.own_region)
      spare += weights[region];
  }
  const auto own = context.caller_shares.find(context.own_region);
  const double own_caller_share =
      own == context.caller_shares.end() ? 0.0 : own->second;
  const double own_region_share =
      own_caller_share > 0 ? std::min(1.0, capacity[context.own_region] /
                                               total / own_caller_share)
                           : 1.0;
  for (auto& [region, weight] : weights)
    weight = spare > 0 ? (1.0 - own_region_share) * weight / spare : 0.0;
  weights[context.own_region] = own_region_share;
  for (auto& [region, weight] : weights)
    weight =
        local_bias * weight + (1.0 - local_bias) * capacity[region] / total;
  return weights;
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
      ejected > kMaxEjectedShare * static_cast<double>(endpoints.size());
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
  // Long requests use the reserve only if no other endpoint is usable.
  if (candidates.empty() && is_split)
    candidates = FindCandidates(set, endpoints, none, context, request,
                                with_ejected, now);
  if (candidates.empty())
    candidates =
        FindCandidates(set, endpoints, none, context, request, true, now);
  if (candidates.empty()) {
    const bool backs_off =
        FirstResume(set, *request.service, request.homes, now).has_value();
    return {
        nullptr,
        backs_off ? PlacementReason::kBackoff : PlacementReason::kNoEndpoint,
        0};
  }
  const bool has_object =
      !request.affinity_key.empty() && request.route->sticky;
  if (has_object && EndpointsPerObject(request.objects, preferred.size()) > 1)
    OrderOwnEndpoints(candidates, request.random, now);
  Placement placement = has_object
                            ? ChooseByAffinity(candidates, request.is_long, now)
                            : ChooseByLoad(candidates, now);
  const double slots = placement.endpoint->record.slots;
  if (placement.load >= slots * (1.0 + kMaxQueuePerSlot))
    return {nullptr, PlacementReason::kFull, placement.load};
  return placement;
}

std::optional<Time> FirstResume(const EndpointSet& set,
                                const ServiceId& service,
                                const HomeRegions& homes,
                                Time now) {
  const auto it = set.by_service.find(service);
  if (it == set.by_service.end())
    return std::nullopt;
  std::optional<Time> first;
  for (const EndpointPtr& endpoint : it->second) {
    if (!IsHome(homes, endpoint->record.region))
      continue;
    const Eligibility eligibility = EligibilityOf(set, *endpoint, now);
    if (eligibility == Eligibility::kEligible)
      return std::nullopt;
    const Time resume_at = endpoint->notice.resume_at;
    if (eligibility == Eligibility::kBackoff && (!first || resume_at < *first))
      first = resume_at;
  }
  return first;
}

void OnPlaced(const SteeringConfig& config, EndpointView& endpoint, Time now) {
  if (!IsCold(endpoint, now))
    return;
  const auto it = config.services.find(endpoint.record.service);
  if (it == config.services.end() || it->second.warmup_per_second <= 0)
    return;
  const double own_rate =
      it->second.warmup_per_second / static_cast<double>(kMaxWarmupSenders);
  endpoint.next_cold_send = now + FromSeconds(1.0 / own_rate);
}

}  // namespace sassafras
