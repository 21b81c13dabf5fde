// Selects the zone to which an entry host sends a request: by the shares of
// the plan, with the shares of lost zones moved to others within the plan's
// failover budgets.
//
// Every entry host computes the same flows from the same plan and the same
// lost zones. The total that all hosts send to a zone therefore stays within
// the plan, also while no new plan can be committed.
#ifndef DECISIONS_FLOW_H_
#define DECISIONS_FLOW_H_

#include <map>
#include <optional>
#include <set>
#include <vector>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "decisions/plan.h"
#include "decisions/topology.h"

namespace sassafras {

// Availability of zones as seen by one entry host, with the ramp-up of zones
// that have returned.
struct ZoneTracker {
  struct State {
    bool lost = false;
    // Lost since this host started tracking it, possibly only because it has
    // not been heard yet.
    bool never_seen = false;
    // Fraction of its plan share that a returned zone has again, 0 to 1.
    double restored_share = 1.0;
    Time restored_updated;
  };
  std::map<ZoneId, State> zones;
};

// Updates which zones are lost. A zone that returns starts at a share of 0,
// which grows no faster than the plan's `shift_cap_per_minute`. While
// `starting`, a zone that is heard for the first time counts as having been
// available before and gets its full share.
void UpdateZoneTracker(ZoneTracker& tracker,
                       const ServicePlan& plan,
                       const std::set<ZoneId>& lost,
                       bool starting,
                       Time now);

// Zone shares that one entry host currently uses.
struct EffectiveShares {
  std::map<ZoneId, double> zones;  // Sums to at most 1.
  // Fraction of each class that is admitted, 0 to 1. The least urgent class is
  // reduced first.
  PerPriority<double> admitted{};
};

EffectiveShares ComputeShares(const ServicePlan& plan,
                              const ZoneTracker& tracker);

// Target zones of the requests that arrive in one zone, with cumulative shares
// that end at 1. Requests stay in their zone as far as possible, then in their
// region, before they go to another region.
struct FlowRow {
  struct Target {
    ZoneId zone;
    double cumulative_share = 0;
  };
  std::vector<Target> targets;
};

FlowRow ComputeFlow(const ServicePlan& plan,
                    const EffectiveShares& shares,
                    const Topology& topology,
                    const ZoneId& from);

// The target for `draw`, a uniform random number in [0, 1); nullopt for an
// empty row.
std::optional<ZoneId> PickTarget(const FlowRow& row, double draw);

}  // namespace sassafras

#endif  // DECISIONS_FLOW_H_
