#include "routing/urgent_reserve.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "base/hash.h"

namespace sassafras {

namespace {

// Time constant of the decay of recent work. It covers several bursts, so that
// the reserve follows the mean demand rather than each burst.
constexpr Duration kDemandTimeConstant = std::chrono::seconds(20);
// The demand is averaged over at least this time, so that the first requests do
// not give a very high rate.
constexpr Duration kMinDemandAge = std::chrono::seconds(5);
// Target utilization of the reserved slots by urgent work. At one half, most
// urgent requests find a free slot if their objects are cached; with more
// endpoints, they are, and popular objects do not share an endpoint.
constexpr double kMaxReserveUtilization = 0.5;
constexpr double kSpareReserveUtilization = 0.25;
// Utilization up to which long work runs without much waiting. Endpoints that
// it does not need at this utilization may be reserved.
constexpr double kCalmLongUtilization = 0.6;
// Limit on the reserved share, unless the urgent work's part of the demand is
// larger.
constexpr double kMaxReservedShare = 0.5;
// A smaller relative change of the computed share is ignored.
constexpr double kMinRelativeShareChange = 0.25;
// A service has no reserve if its urgent or its long work at all hosts needs
// fewer slots than this.
constexpr double kMinDemandSlots = 0.1;
// Another host's reported demand is used for this long. In a large deployment,
// each host is heard only every few seconds.
constexpr Duration kDemandLifetime = std::chrono::seconds(10);
constexpr uint64_t kReserveHashSeed = 2;

double Decay(Duration age) {
  return std::exp(-Seconds(age) / Seconds(kDemandTimeConstant));
}

bool MayReserve(const EndpointSet& set, const EndpointView& it, Time now) {
  return CountsAsCapacity(set, it) && !IsCold(it, now);
}

}  // namespace

void OnDemand(ServiceDemand& demand,
              const RequestRoute& route,
              bool is_long,
              Duration work,
              Time now) {
  RecentWork& recent = is_long ? demand.long_work : demand.urgent;
  if (recent.since == Time())
    recent.since = now;
  else
    recent.seconds *= Decay(now - recent.updated);
  recent.updated = now;
  recent.seconds += Seconds(std::min(work, route.target_latency));
}

double DemandedSlots(const RecentWork& work, Time now) {
  if (work.since == Time())
    return 0;
  // Corrects the decayed sum for the time before the first request.
  const double observed_share =
      1.0 - Decay(std::max(now - work.since, kMinDemandAge));
  return work.seconds * Decay(now - work.updated) /
         (Seconds(kDemandTimeConstant) * observed_share);
}

FleetDemand EstimateFleetDemand(const ServiceDemand& own,
                                const ServiceId& service,
                                const HostMembers& members,
                                Time now) {
  FleetDemand sum{DemandedSlots(own.urgent, now),
                  DemandedSlots(own.long_work, now)};
  size_t heard = 1;
  size_t alive = 1;
  const uint32_t hash = ShortHash(service);
  for (const auto& [id, member] : members.others) {
    if (!IsAlive(member, now))
      continue;
    ++alive;
    if (member.demands_heard == Time() ||
        now - member.demands_heard >= kDemandLifetime)
      continue;
    ++heard;
    for (const DemandNotice& it : member.demands) {
      if (it.service_hash != hash)
        continue;
      sum.urgent_slots += it.urgent_slots;
      sum.long_slots += it.long_slots;
    }
  }
  const double scale = static_cast<double>(alive) / static_cast<double>(heard);
  return {sum.urgent_slots * scale, sum.long_slots * scale};
}

bool UpdateReservedShare(ServiceDemand& demand,
                         const FleetDemand& fleet,
                         double slots) {
  const double before = demand.reserved_share;
  if (slots <= 0 || fleet.urgent_slots < kMinDemandSlots ||
      fleet.long_slots < kMinDemandSlots) {
    demand.reserved_share = 0;
    return before > 0;
  }
  const double proportional_share =
      fleet.urgent_slots / (fleet.urgent_slots + fleet.long_slots);
  const double min_share = fleet.urgent_slots / kMaxReserveUtilization / slots;
  const double ample_share =
      fleet.urgent_slots / kSpareReserveUtilization / slots;
  const double spare_share =
      1.0 - fleet.long_slots / kCalmLongUtilization / slots;
  const double wanted = std::clamp(
      std::max(min_share, std::min(ample_share, spare_share)),
      proportional_share, std::max(kMaxReservedShare, proportional_share));
  if (std::abs(wanted - before) <= kMinRelativeShareChange * before)
    return false;
  demand.reserved_share = wanted;
  return true;
}

std::vector<ReserveChange> UpdateReserves(ServiceDemands& demands,
                                          const SteeringConfig& config,
                                          const EndpointSet& set,
                                          const HostMembers& members,
                                          Time now) {
  std::vector<ReserveChange> changes;
  for (auto& [service, demand] : demands) {
    ReserveChange change{service, demand.reserved_share, 0, {}, 0};
    if (config.long_work_priorities.count(service) > 0) {
      change.fleet = EstimateFleetDemand(demand, service, members, now);
      change.slots = CapacitySlots(set, service);
    }
    // If the service is not split, `change.slots` is 0, which clears the
    // reserve.
    const bool has_changed =
        UpdateReservedShare(demand, change.fleet, change.slots);
    change.share = demand.reserved_share;
    if (has_changed)
      changes.push_back(change);
  }
  return changes;
}

std::vector<DemandNotice> OwnDemands(const ServiceDemands& demands,
                                     const SteeringConfig& config,
                                     Time now) {
  std::vector<DemandNotice> notices;
  for (const auto& [service, demand] : demands) {
    if (config.long_work_priorities.count(service) == 0)
      continue;
    notices.push_back({ShortHash(service), DemandedSlots(demand.urgent, now),
                       DemandedSlots(demand.long_work, now)});
  }
  return notices;
}

EndpointSplit SplitEndpoints(const EndpointSet& set,
                             const std::vector<EndpointPtr>& endpoints,
                             double share,
                             Time now) {
  EndpointSplit split;
  std::map<RegionId, std::vector<EndpointPtr>> by_region;
  for (const EndpointPtr& it : endpoints) {
    if (MayReserve(set, *it, now))
      by_region[it->record.region].push_back(it);
    else
      split.long_work.push_back(it);
  }
  for (auto& [region, list] : by_region) {
    if (list.size() == 1) {
      split.urgent.push_back(list.front());
      split.long_work.push_back(list.front());
      continue;
    }
    std::sort(list.begin(), list.end(),
              [](const EndpointPtr& a, const EndpointPtr& b) {
                return HashPair(a->hash, kReserveHashSeed) >
                       HashPair(b->hash, kReserveHashSeed);
              });
    const auto wanted = static_cast<size_t>(
        std::lround(share * static_cast<double>(list.size())));
    const auto middle = list.begin() + static_cast<std::ptrdiff_t>(std::clamp(
                                           wanted, size_t{1}, list.size() - 1));
    split.urgent.insert(split.urgent.end(), list.begin(), middle);
    split.long_work.insert(split.long_work.end(), middle, list.end());
  }
  return split;
}

}  // namespace sassafras
