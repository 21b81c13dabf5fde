// The next plan of a service, derived from the last committed one.
//
// Planned moves are bounded by the service's cap and by the time that the
// planner itself has known the last plan, which is never longer than the time
// since its commit. No lapse, pause or doubling of planners and no jump of a
// clock can therefore enlarge a step.
#ifndef DECISIONS_PLANNER_H_
#define DECISIONS_PLANNER_H_

#include <map>
#include <optional>
#include <set>

#include "base/ids.h"
#include "base/priority.h"
#include "base/time.h"
#include "decisions/intent.h"
#include "decisions/plan.h"
#include "decisions/topology.h"

namespace sassafras {

struct PlannerLimits {
  // Longest time that one step is credited for.
  Duration max_credit = std::chrono::seconds(5);
  // Shortest time between two steps of a service.
  Duration min_step_interval = std::chrono::seconds(1);
  // Moves smaller than this part of the service's work are left alone.
  double min_move = 0.002;
  // Demand below this part of the slots is too little to judge by.
  double min_offered_load = 0.05;
  // Change of a zone's part of the demand that makes a new plan worth its
  // write.
  double demand_deadband = 0.05;
  // Change of a budget or of the mix that makes a new plan worth its write.
  double budget_deadband = 0.1;
  // Measurements older than this are not used.
  Duration max_measurement_age = std::chrono::seconds(10);
  // Without measurements the shares are held this long, then return to the
  // intent within the cap.
  Duration hold = std::chrono::seconds(60);
  // Utilisation of a zone at which work is moved away, and below which it
  // may come back, as parts of what headroom leaves.
  double shed_above = 1.0;
  double return_below = 0.9;
};

// What is measured of one zone and service.
struct ZoneMeasure {
  double healthy_slots = 0;
  // Slots that the work arriving in the zone would keep busy.
  double offered_slots = 0;
};

struct PlannerInput {
  const Topology* topology = nullptr;
  const Intent* intent = nullptr;
  ServiceId service;
  // The last committed plan and when this process first saw it; null for
  // none.
  const ServicePlan* last = nullptr;
  Time last_seen;
  Time now;
  // Zones without entry hosts or without fit endpoints.
  std::set<ZoneId> lost;
  // Slots that the platform lists, per zone.
  std::map<ZoneId, double> listed_slots;
  std::map<ZoneId, ZoneMeasure> measured;
  PerPriority<double> mix{};
  // Age of the youngest measurement that covers all live zones; nothing if
  // there never was one.
  std::optional<Duration> measurement_age;
};

// The next plan, or nothing if the last one stands.
std::optional<ServicePlan> NextPlan(const PlannerInput& input,
                                    const PlannerLimits& limits);

// Part of a service's work that a step may move after `elapsed`.
double AllowedMove(double cap_per_minute,
                   Duration elapsed,
                   const PlannerLimits& limits);

// Part of the work that changes zone between two plans.
double MovedShare(const ServicePlan& from, const ServicePlan& to);

}  // namespace sassafras

#endif  // DECISIONS_PLANNER_H_
