#include "decisions/planner.h"

#include <algorithm>
#include <cmath>

namespace sassafras {

namespace {

constexpr double kEpsilon = 1e-9;
constexpr double kSecondsPerMinute = 60.0;
// Lower bound of the offered load that capacities are computed from, as a
// fraction of the usable slots.
constexpr double kMinAssumedUtilisation = 0.5;

using Shares = std::map<ZoneId, double>;

double Sum(const Shares& shares) {
  double sum = 0;
  for (const auto& [zone, share] : shares)
    sum += share;
  return sum;
}

double ValueOrZero(const Shares& shares, const ZoneId& zone) {
  const auto it = shares.find(zone);
  return it == shares.end() ? 0 : it->second;
}

bool IsMeasured(const PlannerInput& in, const PlannerLimits& limits) {
  return in.measurement_age &&
         *in.measurement_age <= limits.max_measurement_age;
}

double SlotsOf(const PlannerInput& in, const ZoneId& zone, bool measured) {
  if (in.lost.count(zone))
    return 0;
  const double listed = ValueOrZero(in.listed_slots, zone);
  const auto it = in.measured.find(zone);
  if (!measured || it == in.measured.end())
    return listed;
  return std::min(listed, it->second.healthy_slots);
}

// Headroom per zone. Computed in one pass, since there may be many zones.
Shares HeadroomOfZones(const PlannerInput& in) {
  Shares out;
  for (const Zone& it : in.topology->zones)
    out[it.id] = HeadroomOf(*in.intent, it.region);
  return out;
}

double OfferedSlots(const PlannerInput& in) {
  double sum = 0;
  for (const auto& [zone, measure] : in.measured)
    sum += measure.offered_slots;
  return sum;
}

// Largest fraction of the service's work that each zone can carry. Without
// measurements the load is assumed to fill all slots that headroom leaves, so
// that the result is proportional to the zones' slots.
Shares Capacity(const PlannerInput& in, bool measured) {
  Shares out;
  double usable = 0;
  const Shares headroom = HeadroomOfZones(in);
  for (const auto& [zone, share] : in.intent->services.at(in.service).shares) {
    const double slots = SlotsOf(in, zone, measured);
    out[zone] = slots * (1.0 - ValueOrZero(headroom, zone));
    usable += out[zone];
  }
  // While measurements are only starting, the measured load is near zero and
  // would make the failover budgets far too large.
  const double offered =
      measured ? std::max(OfferedSlots(in), kMinAssumedUtilisation * usable)
               : usable;
  for (auto& [zone, part] : out)
    part = offered > kEpsilon ? part / offered : (part > 0 ? 1.0 : 0.0);
  return out;
}

Shares SharesOf(const ServicePlan* plan) {
  Shares out;
  if (!plan)
    return out;
  for (const auto& [zone, it] : plan->zones)
    out[zone] = it.share;
  return out;
}

// Distributes `amount` over the zones in proportion to the room between
// `shares` and `limit`. Returns the amount that did not fit.
double FillProportionally(Shares& shares, const Shares& limit, double amount) {
  double room = 0;
  for (const auto& [zone, share] : shares)
    room += std::max(0.0, ValueOrZero(limit, zone) - share);
  if (room <= kEpsilon || amount <= kEpsilon)
    return amount;
  const double placed = std::min(amount, room);
  for (auto& [zone, share] : shares)
    share += placed * std::max(0.0, ValueOrZero(limit, zone) - share) / room;
  return amount - placed;
}

// The intended shares, limited to what each zone can carry, with the excess
// moved to zones that have room. A zone whose share was reduced takes work
// back only up to a lower limit, so that lagging measurements do not make the
// shares oscillate.
Shares TargetShares(const PlannerInput& in,
                    const PlannerLimits& limits,
                    const Shares& now,
                    bool measured) {
  Shares target = in.intent->services.at(in.service).shares;
  double excess = 0;
  for (auto& [zone, share] : target) {
    if (in.lost.count(zone)) {
      excess += share;
      share = 0;
    }
  }
  Shares capacity = Capacity(in, measured);
  if (measured) {
    for (auto& [zone, share] : target) {
      const double full = ValueOrZero(capacity, zone) * limits.shed_above;
      const bool was_reduced = ValueOrZero(now, zone) < share - kEpsilon;
      const double ceiling =
          was_reduced
              ? std::max(ValueOrZero(capacity, zone) * limits.return_below,
                         std::min(full, ValueOrZero(now, zone)))
              : full;
      if (share <= ceiling)
        continue;
      excess += share - ceiling;
      share = ceiling;
    }
  }
  for (auto& [zone, part] : capacity) {
    if (in.lost.count(zone))
      part = 0;
  }
  const double unplaced = FillProportionally(target, capacity, excess);
  // Work that does not fit in any zone is spread over the live zones in
  // proportion to the intent; the receivers refuse it by priority.
  if (unplaced > kEpsilon) {
    Shares live;
    for (const auto& [zone, share] :
         in.intent->services.at(in.service).shares) {
      live[zone] = in.lost.count(zone) ? 0 : std::max(share, kEpsilon);
    }
    const double total = Sum(live);
    for (auto& [zone, share] : target) {
      if (total > 0)
        share += unplaced * ValueOrZero(live, zone) / total;
    }
  }
  return target;
}

// Moves all work out of lost zones at once, into the other zones up to the
// failover budgets of the last plan.
Shares AfterFailover(const PlannerInput& in, const Shares& from) {
  Shares out = from;
  double freed = 0;
  Shares limit;
  for (auto& [zone, share] : out) {
    if (in.lost.count(zone)) {
      freed += share;
      share = 0;
      continue;
    }
    const auto it = in.last->zones.find(zone);
    limit[zone] =
        share + (it == in.last->zones.end() ? 0 : it->second.failover_budget);
  }
  FillProportionally(out, limit, freed);
  return out;
}

// The amount that moves between zones if `from` is replaced by `to`.
double SumOfIncreases(const Shares& from, const Shares& to) {
  double up = 0;
  for (const auto& [zone, share] : to)
    up += std::max(0.0, share - ValueOrZero(from, zone));
  return up;
}

// Moves `from` towards `to` by at most `allowed`. The sums may differ: work
// that a failover could not place counts against the same limit.
Shares StepTowards(const Shares& from, const Shares& to, double allowed) {
  const double whole = SumOfIncreases(from, to);
  const double part = whole <= allowed ? 1.0 : allowed / whole;
  Shares out = from;
  for (const auto& [zone, share] : to)
    out[zone] =
        ValueOrZero(from, zone) + part * (share - ValueOrZero(from, zone));
  for (auto& [zone, share] : out) {
    if (to.count(zone) == 0)
      share *= 1.0 - part;
  }
  return out;
}

// The measured fraction of the service's work that arrives in each zone.
Shares MeasuredDemand(const PlannerInput& in, const Shares& shares) {
  const double offered = OfferedSlots(in);
  Shares out;
  for (const auto& [zone, share] : shares) {
    const auto it = in.measured.find(zone);
    const double slots = it == in.measured.end() ? 0 : it->second.offered_slots;
    out[zone] = offered > kEpsilon ? slots / offered : 0;
  }
  return out;
}

// Whether the offered load is large enough to derive the demand per zone.
bool IsDemandKnown(const PlannerInput& in, const PlannerLimits& limits) {
  return OfferedSlots(in) > limits.min_offered_load * Sum(in.listed_slots);
}

// The demand per zone of the last plan; without a plan, the shares.
Shares LastPlannedDemand(const PlannerInput& in, const Shares& shares) {
  Shares out;
  for (const auto& [zone, share] : shares) {
    out[zone] = share;
    if (!in.last)
      continue;
    const auto it = in.last->zones.find(zone);
    if (it != in.last->zones.end())
      out[zone] = it->second.demand;
  }
  return out;
}

bool DemandChanged(const PlannerInput& in,
                   const PlannerLimits& limits,
                   const Shares& demand) {
  for (const auto& [zone, part] : demand) {
    const auto it = in.last->zones.find(zone);
    const double before = it == in.last->zones.end() ? 0 : it->second.demand;
    if (std::abs(part - before) > limits.demand_deadband)
      return true;
  }
  return false;
}

bool MixChanged(const PlannerInput& in, const PlannerLimits& limits) {
  for (size_t n = 0; n < kPriorityCount; ++n) {
    if (std::abs(in.mix[n] - in.last->mix[n]) > limits.budget_deadband)
      return true;
  }
  return false;
}

bool BudgetChanged(const ServicePlan& a, const ServicePlan& b, double band) {
  for (const auto& [zone, it] : a.zones) {
    const auto other = b.zones.find(zone);
    if (other == b.zones.end())
      return true;
    const double difference =
        it.failover_budget - other->second.failover_budget;
    if (std::abs(difference) > band)
      return true;
  }
  return false;
}

ServicePlan Assemble(const PlannerInput& in,
                     const Shares& shares,
                     const Shares& demand,
                     bool measured) {
  const ServiceIntent& intent = in.intent->services.at(in.service);
  ServicePlan plan;
  plan.version = in.last ? in.last->version.Next() : Version(1);
  plan.intent_version = in.intent->version;
  plan.shift_cap_per_minute = intent.shift_cap_per_minute;
  for (size_t n = 0; n < kPriorityCount; ++n)
    plan.least_shares[n] = intent.priorities[n].least_share;
  plan.mix = measured || !in.last ? in.mix : in.last->mix;
  const Shares capacity = Capacity(in, measured);
  for (const auto& [zone, share] : shares) {
    ZonePlan& it = plan.zones[zone];
    it.share = share < kEpsilon ? 0 : share;
    it.demand = ValueOrZero(demand, zone);
    // A zone whose work has just grown is not warmed up yet, so its budget for
    // the work of other zones is only the capacity that its share leaves.
    it.failover_budget = std::max(0.0, ValueOrZero(capacity, zone) - share);
  }
  return plan;
}

}  // namespace

double AllowedMove(double cap_per_minute,
                   Duration elapsed,
                   const PlannerLimits& limits) {
  if (elapsed <= Duration::zero())
    return 0;
  const double credit = Seconds(std::min(elapsed, limits.max_credit));
  // A one-minute window that starts within one step and ends within another
  // contains at most one max_credit more than a minute.
  const double span = kSecondsPerMinute + Seconds(limits.max_credit);
  return cap_per_minute * credit / span;
}

double MovedShare(const ServicePlan& from, const ServicePlan& to) {
  return SumOfIncreases(SharesOf(&from), SharesOf(&to));
}

std::optional<ServicePlan> NextPlan(const PlannerInput& in,
                                    const PlannerLimits& limits) {
  const auto intent = in.intent->services.find(in.service);
  if (intent == in.intent->services.end())
    return std::nullopt;
  const bool fresh = IsMeasured(in, limits);
  const bool measured = fresh && IsDemandKnown(in, limits);
  if (!in.last) {
    const Shares& shares = intent->second.shares;
    const Shares demand =
        measured ? MeasuredDemand(in, shares) : LastPlannedDemand(in, shares);
    return Assemble(in, shares, demand, measured);
  }
  const Duration elapsed = in.now - in.last_seen;
  const Shares before = SharesOf(in.last);
  const Shares failed_over = AfterFailover(in, before);
  const bool failover = SumOfIncreases(before, failed_over) > kEpsilon;
  if (elapsed < limits.min_step_interval && !failover)
    return std::nullopt;
  const bool hold = !fresh && in.measurement_age &&
                    *in.measurement_age < limits.hold &&
                    in.last->intent_version == in.intent->version;
  const double allowed =
      AllowedMove(intent->second.shift_cap_per_minute, elapsed, limits);
  Shares next = failed_over;
  if (!hold) {
    const Shares target = TargetShares(in, limits, before, measured);
    if (SumOfIncreases(failed_over, target) >= limits.min_move ||
        SumOfIncreases(target, failed_over) >= limits.min_move) {
      next = StepTowards(failed_over, target, allowed);
    }
  }
  // The demand per zone determines where work is sent, so a change of the
  // demand is a move too and counts against the same cap.
  Shares demand = LastPlannedDemand(in, next);
  const Shares measured_demand = measured ? MeasuredDemand(in, next) : demand;
  const bool demand_changed =
      measured && DemandChanged(in, limits, measured_demand);
  if (demand_changed) {
    const double spent = SumOfIncreases(failed_over, next);
    demand =
        StepTowards(demand, measured_demand, std::max(0.0, allowed - spent));
  }
  const ServicePlan plan = Assemble(in, next, demand, measured);
  const bool moved = SumOfIncreases(before, next) > kEpsilon ||
                     SumOfIncreases(next, before) > kEpsilon;
  const bool worth_writing =
      moved || demand_changed || (measured && MixChanged(in, limits)) ||
      in.last->intent_version != in.intent->version ||
      BudgetChanged(plan, *in.last, limits.budget_deadband);
  if (!worth_writing)
    return std::nullopt;
  return plan;
}

}  // namespace sassafras
