#include "decisions/flow.h"

#include <algorithm>

namespace sassafras {

namespace {

constexpr double kEpsilon = 1e-9;
constexpr double kSecondsPerMinute = 60.0;
// Excess below this fraction of the service's requests stays in its zone,
// because demand is not known more precisely and other regions are far away.
constexpr double kDemandTolerance = 0.02;

const ZoneTracker::State* StateOf(const ZoneTracker& tracker,
                                  const ZoneId& zone) {
  const auto it = tracker.zones.find(zone);
  return it == tracker.zones.end() ? nullptr : &it->second;
}

double Availability(const ZoneTracker& tracker, const ZoneId& zone) {
  const ZoneTracker::State* state = StateOf(tracker, zone);
  if (!state)
    return 1.0;
  return state->lost ? 0.0 : state->restored_share;
}

void RampUpReturnedZone(ZoneTracker::State& state,
                        const ServicePlan& plan,
                        double share,
                        Time now) {
  if (state.restored_share >= 1.0)
    return;
  const double elapsed = Seconds(now - state.restored_updated);
  state.restored_updated = now;
  const double points = plan.shift_cap_per_minute * elapsed / kSecondsPerMinute;
  state.restored_share =
      share <= kEpsilon ? 1.0
                        : std::min(1.0, state.restored_share + points / share);
}

// Admits classes in order of urgency until the fraction `room` of all requests
// is admitted. Returns the admitted fraction of each class.
PerPriority<double> AdmitByPriority(const PerPriority<double>& mix,
                                    double room) {
  PerPriority<double> admitted{};
  for (const Priority p : kAllPriorities) {
    const double wanted = mix[IndexOf(p)];
    const double placed = std::min(wanted, std::max(0.0, room));
    admitted[IndexOf(p)] = wanted > kEpsilon ? placed / wanted : 1.0;
    room -= placed;
  }
  // A class that is not in the plan's mix yet is admitted in full.
  return admitted;
}

struct Surplus {
  ZoneId zone;
  double room = 0;
  bool same_region = false;
};

// Splits `amount` over the surplus zones for which `accept` is true, in
// proportion to their room. Returns the amount that exceeds their room.
template <typename Accept>
double Spread(std::vector<Surplus>& surplus,
              double amount,
              Accept accept,
              std::map<ZoneId, double>& to) {
  double room = 0;
  for (const Surplus& it : surplus) {
    if (accept(it))
      room += it.room;
  }
  if (room <= kEpsilon)
    return amount;
  const double placed = std::min(amount, room);
  for (Surplus& it : surplus) {
    if (!accept(it))
      continue;
    const double part = placed * it.room / room;
    to[it.zone] += part;
  }
  return amount - placed;
}

// Demand of each zone beyond its share, and unused share of each zone, as
// fractions of the service's demand.
struct Balance {
  std::map<ZoneId, double> excess;
  std::map<ZoneId, double> room;
};

Balance BalanceZones(const ServicePlan& plan, const EffectiveShares& shares) {
  double total = 0;
  for (const auto& [zone, share] : shares.zones)
    total += share;
  Balance out;
  if (total <= kEpsilon)
    return out;
  for (const auto& [zone, zone_plan] : plan.zones) {
    const auto it = shares.zones.find(zone);
    const double share = it == shares.zones.end() ? 0 : it->second / total;
    const double kept = std::min(share + kDemandTolerance, zone_plan.demand);
    out.excess[zone] = zone_plan.demand - kept;
    out.room[zone] = std::max(0.0, share - kept);
  }
  return out;
}

// Excess demand of a zone first fills the room of other zones in its region.
// Returns the fraction of the region's excess that fits into that room.
double RegionalPart(const Balance& balance,
                    const Topology& topology,
                    const RegionId& region) {
  double excess = 0;
  double room = 0;
  for (const auto& [zone, amount] : balance.excess) {
    const RegionId* it = RegionOfZone(topology, zone);
    if (!it || *it != region)
      continue;
    excess += amount;
    room += balance.room.at(zone);
  }
  return excess <= kEpsilon ? 0 : std::min(1.0, room / excess);
}

// Room of each zone that is left for other regions.
std::vector<Surplus> SurplusAfterRegions(const Balance& balance,
                                         const Topology& topology,
                                         const RegionId& own_region) {
  std::map<RegionId, double> excess;
  std::map<RegionId, double> room;
  for (const auto& [zone, amount] : balance.excess) {
    const RegionId* region = RegionOfZone(topology, zone);
    if (!region)
      continue;
    excess[*region] += amount;
    room[*region] += balance.room.at(zone);
  }
  std::vector<Surplus> out;
  for (const auto& [zone, amount] : balance.room) {
    const RegionId* region = RegionOfZone(topology, zone);
    if (!region || room[*region] <= kEpsilon)
      continue;
    const double left =
        std::max(0.0, room[*region] - excess[*region]) / room[*region];
    out.push_back({zone, amount * left, *region == own_region});
  }
  return out;
}

FlowRow RowOf(const std::map<ZoneId, double>& parts) {
  double total = 0;
  for (const auto& [zone, part] : parts)
    total += part;
  FlowRow row;
  double sum = 0;
  for (const auto& [zone, part] : parts) {
    if (part <= kEpsilon)
      continue;
    sum += part / total;
    row.targets.push_back({zone, sum});
  }
  return row;
}

}  // namespace

void UpdateZoneTracker(ZoneTracker& tracker,
                       const ServicePlan& plan,
                       const std::set<ZoneId>& lost,
                       bool starting,
                       Time now) {
  for (const auto& [zone, zone_plan] : plan.zones) {
    const auto [it, added] = tracker.zones.try_emplace(zone);
    ZoneTracker::State& state = it->second;
    const bool is_lost = lost.count(zone) > 0;
    if (added || state.lost != is_lost) {
      const bool cold = !added && !is_lost && !state.never_seen;
      state.restored_share = cold ? 0.0 : 1.0;
      state.restored_updated = now;
      state.never_seen = added && is_lost;
      state.lost = is_lost;
    }
    if (!starting)
      state.never_seen = false;
    if (!is_lost)
      RampUpReturnedZone(state, plan, zone_plan.share, now);
  }
}

EffectiveShares ComputeShares(const ServicePlan& plan,
                              const ZoneTracker& tracker) {
  EffectiveShares out;
  double budget = 0;
  double placed = 0;
  for (const auto& [zone, zone_plan] : plan.zones) {
    const double availability = Availability(tracker, zone);
    const double share = zone_plan.share * availability;
    out.zones[zone] = share;
    placed += share;
    // A zone that is ramping up takes no share of lost zones.
    if (availability >= 1.0)
      budget += zone_plan.failover_budget;
  }
  const double missing = std::max(0.0, 1.0 - placed);
  const double moved = std::min(missing, budget);
  if (moved > kEpsilon) {
    for (const auto& [zone, zone_plan] : plan.zones) {
      if (Availability(tracker, zone) >= 1.0)
        out.zones[zone] += moved * zone_plan.failover_budget / budget;
    }
  }
  out.admitted.fill(1.0);
  if (missing - moved > kEpsilon)
    out.admitted = AdmitByPriority(plan.mix, placed + moved);
  return out;
}

FlowRow ComputeFlow(const ServicePlan& plan,
                    const EffectiveShares& shares,
                    const Topology& topology,
                    const ZoneId& from) {
  const RegionId* region = RegionOfZone(topology, from);
  const auto own = plan.zones.find(from);
  const Balance balance = BalanceZones(plan, shares);
  if (!region || own == plan.zones.end() || own->second.demand <= kEpsilon ||
      balance.excess.empty()) {
    return RowOf(shares.zones);
  }
  std::map<ZoneId, double> parts;
  const double excess = balance.excess.at(from);
  parts[from] = own->second.demand - excess;
  const double regional = excess * RegionalPart(balance, topology, *region);
  std::vector<Surplus> neighbours;
  for (const auto& [zone, room] : balance.room) {
    const RegionId* it = RegionOfZone(topology, zone);
    if (it && *it == *region)
      neighbours.push_back({zone, room, true});
  }
  Spread(
      neighbours, regional, [](const Surplus&) { return true; }, parts);
  std::vector<Surplus> others = SurplusAfterRegions(balance, topology, *region);
  const double left = Spread(
      others, excess - regional,
      [](const Surplus& it) { return !it.same_region; }, parts);
  parts[from] += left;
  return RowOf(parts);
}

std::optional<ZoneId> PickTarget(const FlowRow& row, double draw) {
  for (const FlowRow::Target& it : row.targets) {
    if (draw < it.cumulative_share)
      return it.zone;
  }
  if (row.targets.empty())
    return std::nullopt;
  return row.targets.back().zone;
}

}  // namespace sassafras
