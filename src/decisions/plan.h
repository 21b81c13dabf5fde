// The plan of one service: the share of the work that each zone serves, and
// the failover budgets that entry nodes apply on their own while zones are
// lost.
#ifndef DECISIONS_PLAN_H_
#define DECISIONS_PLAN_H_

#include <map>

#include "base/ids.h"
#include "base/priority.h"

namespace sassafras {

struct ZonePlan {
  // Fraction of the service's work that the zone serves, 0 to 1.
  double share = 0;
  // Fraction of the service's work that arrives in the zone, 0 to 1.
  double demand = 0;
  // Fraction of the service's work that the zone may take at once, in
  // addition to its share, while other zones are lost.
  double failover_budget = 0;
};

struct ServicePlan {
  Version version;
  Version intent_version;
  std::map<ZoneId, ZonePlan> zones;
  // Fraction of the service's work in each priority class; sums to 1.
  PerPriority<double> mix{};
  // Fraction of the service's work that may change zone in one minute.
  double shift_cap_per_minute = 0.1;
  // Fraction of the slots reserved for each class while others overload.
  PerPriority<double> least_shares{};
};

}  // namespace sassafras

#endif  // DECISIONS_PLAN_H_
