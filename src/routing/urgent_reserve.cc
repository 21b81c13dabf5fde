#include "routing/urgent_reserve.h"

#include <algorithm>
#include <cmath>
#include <map>

#include "base/hash.h"

namespace sassafras {

namespace {

// Work counts for about this long: several bursts, so that the reserve follows
// the demand rather than each of them.
constexpr Duration kDemandTime = std::chrono::seconds(20);
// The first requests are taken as spread over at least this time.
constexpr Duration kLeastDemandTime = std::chrono::seconds(5);
// Part of the reserved slots that urgent work is meant to use: at one half, a
// request mostly finds a free slot.
constexpr double kReserveUse = 0.5;
// Most of the endpoints that are set apart for work that needs less itself.
constexpr double kMostReserved = 0.5;
// Relative change of the wanted share that is followed.
constexpr double kShareStep = 0.25;
// Demand of fewer slots, over all hosts, does not split a service.
constexpr double kLeastSlots = 0.1;
// What another host has said of its demand counts for this long; in a large
// deployment each host is heard every few seconds.
constexpr Duration kDemandLifetime = std::chrono::seconds(10);
constexpr uint64_t kReserveSeed = 2;

double Decay(Duration age) {
  return std::exp(-Seconds(age) / Seconds(kDemandTime));
}

bool MayReserve(const EndpointSet& set, const EndpointView& it, Time now) {
  return IsInUse(set, it) && !IsCold(it, now);
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
  const double seen = 1.0 - Decay(std::max(now - work.since, kLeastDemandTime));
  return work.seconds * Decay(now - work.updated) /
         (Seconds(kDemandTime) * seen);
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

bool UpdateReserve(ServiceDemand& demand,
                   const FleetDemand& fleet,
                   double slots) {
  const double before = demand.reserved_share;
  if (slots <= 0 || fleet.urgent_slots < kLeastSlots ||
      fleet.long_slots < kLeastSlots) {
    demand.reserved_share = 0;
    return before > 0;
  }
  const double in_proportion =
      fleet.urgent_slots / (fleet.urgent_slots + fleet.long_slots);
  const double wanted =
      std::clamp(fleet.urgent_slots / kReserveUse / slots, in_proportion,
                 std::max(kMostReserved, in_proportion));
  if (std::abs(wanted - before) <= kShareStep * before)
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
      change.slots = SlotsInUse(set, service);
    }
    // Without slots, nothing is set apart.
    const bool has_changed = UpdateReserve(demand, change.fleet, change.slots);
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
                return HashPair(a->hash, kReserveSeed) >
                       HashPair(b->hash, kReserveSeed);
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
