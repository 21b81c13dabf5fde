// Where an entry host sends a request: the shares of the plan, moved within
// the plan's budgets while zones are lost.
//
// Every entry host computes the same flows from the same plan and the same
// lost zones, so that what they send anywhere adds up to what the plan
// allows, also while no new plan can be committed.
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

// Availability of zones as one entry host sees it, with the ramp of those
// that came back.
struct ZoneTracker {
  struct State {
    bool lost = false;
    // Lost since this host began to watch: it may just not have been heard.
    bool never_seen = false;
    // Part of its plan share that a returned zone gets again, 0 to 1.
    double restored_share = 1.0;
    Time restored_updated;
  };
  std::map<ZoneId, State> zones;
};

// Records which zones are lost now. A zone that comes back starts cold: its
// share grows under the plan's cap. While `starting`, a zone that is heard
// for the first time counts as having been there before.
void UpdateZoneTracker(ZoneTracker& tracker,
                       const ServicePlan& plan,
                       const std::set<ZoneId>& lost,
                       bool starting,
                       Time now);

// Shares in force at one entry host.
struct EffectiveShares {
  std::map<ZoneId, double> zones;  // Sums to at most 1.
  // Part of each class that finds a place, 0 to 1; the lowest class pays
  // first.
  PerPriority<double> admitted{};
};

EffectiveShares ComputeShares(const ServicePlan& plan,
                              const ZoneTracker& tracker);

// Targets of the work that arrives in one zone: cumulative parts, ending at
// 1. Work stays in its zone, then in its region, before it goes further.
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

// The target at `draw`, evenly drawn from [0, 1); nothing for an empty row.
std::optional<ZoneId> PickTarget(const FlowRow& row, double draw);

}  // namespace sassafras

#endif  // DECISIONS_FLOW_H_
