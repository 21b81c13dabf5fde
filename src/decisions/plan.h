// The plan of one service: the shares in force and the budgets that entries
// use on their own while zones are lost.
#ifndef DECISIONS_PLAN_H_
#define DECISIONS_PLAN_H_

#include <map>

#include "base/ids.h"
#include "base/priority.h"

namespace sassafras {

struct ZonePlan {
  // Part of the service's work that the zone serves, 0 to 1.
  double share = 0;
  // Part of the service's work that arrives in the zone, 0 to 1.
  double demand = 0;
  // Part of the service's work that the zone may take at once, in addition
  // to its share, while other zones are lost.
  double failover_budget = 0;
};

struct ServicePlan {
  Version version;
  Version intent_version;
  std::map<ZoneId, ZonePlan> zones;
  // Part of the service's work in each priority class; sums to 1.
  PerPriority<double> mix{};
  double shift_cap_per_minute = 0.1;
  PerPriority<double> least_shares{};
};

}  // namespace sassafras

#endif  // DECISIONS_PLAN_H_
