// Computes the next plan of a service from its last committed plan.
//
// A step moves at most the service's shift cap times the time for which this
// process has known the last plan. That time is never longer than the time
// since the plan was committed, so a lapsed lease, a paused planner, several
// planners at once or a clock jump cannot enlarge a step.
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
  // A step uses at most this much of the time since the last plan.
  Duration max_credit = std::chrono::seconds(5);
  // Minimum time between two steps of a service; a failover need not wait.
  Duration min_step_interval = std::chrono::seconds(1);
  // Moves of a smaller fraction of the service's work are not made.
  double min_move = 0.002;
  // Minimum offered load, as a fraction of the listed slots, for the measured
  // demand per zone to be used.
  double min_offered_load = 0.05;
  // A new plan is written if a zone's fraction of the demand changes by more
  // than this.
  double demand_deadband = 0.05;
  // A new plan is written if a failover budget or a class's fraction of the
  // work changes by more than this.
  double budget_deadband = 0.1;
  // Older measurements are not used.
  Duration max_measurement_age = std::chrono::seconds(10);
  // Without usable measurements the shares stay as they are until the last
  // measurement is this old or the intent changes; then they move to the
  // intent under the cap.
  Duration hold = std::chrono::seconds(60);
  // Work moves out of a zone whose utilisation exceeds `shed_above` and may
  // return up to `return_below`, both as fractions of the slots that are left
  // after headroom. The gap between them keeps shares from oscillating.
  double shed_above = 1.0;
  double return_below = 0.9;
};

// Measured capacity and load of one service in one zone.
struct ZoneMeasure {
  double healthy_slots = 0;
  // Offered load: slots that the work arriving in the zone would keep busy.
  double offered_slots = 0;
};

struct PlannerInput {
  const Topology* topology = nullptr;
  const Intent* intent = nullptr;
  ServiceId service;
  // The last committed plan, null if there is none, and when this process
  // first saw it.
  const ServicePlan* last = nullptr;
  Time last_seen;
  Time now;
  // Zones without live entry hosts or without usable endpoints.
  std::set<ZoneId> lost;
  // Slots per zone according to the platform's endpoint list.
  std::map<ZoneId, double> listed_slots;
  std::map<ZoneId, ZoneMeasure> measured;
  // Fraction of the offered load in each priority class.
  PerPriority<double> mix{};
  // Age of the oldest of the latest measurements of all live zones; empty if
  // a live zone has never been measured.
  std::optional<Duration> measurement_age;
};

// Returns the next plan, or nothing if the last plan stays in force or the
// intent does not name the service.
std::optional<ServicePlan> NextPlan(const PlannerInput& input,
                                    const PlannerLimits& limits);

// Fraction of a service's work that a step may move if the last plan has been
// known for `elapsed`; zero for a negative time.
double AllowedMove(double cap_per_minute,
                   Duration elapsed,
                   const PlannerLimits& limits);

// Fraction of the work that changes zone between two plans.
double MovedShare(const ServicePlan& from, const ServicePlan& to);

}  // namespace sassafras

#endif  // DECISIONS_PLANNER_H_
