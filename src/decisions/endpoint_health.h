// Health of the endpoints of one service and zone, judged from observed
// results and never from what endpoints say of themselves.
#ifndef DECISIONS_ENDPOINT_HEALTH_H_
#define DECISIONS_ENDPOINT_HEALTH_H_

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

struct HealthLimits {
  // Ejected endpoints, as a part of all.
  double max_ejected_share = 0.34;
  // Failures in a row that eject an endpoint.
  int consecutive_failures = 3;
  // Refused connections in a row after which an endpoint is left alone for
  // the time below. It counts as down and not as ejected: no share of the
  // others can serve in its place by leaving it in.
  int consecutive_refusals = 2;
  Duration down_pause = std::chrono::milliseconds(500);
  // Mean failure rate that ejects an endpoint, if others fare better.
  double failure_rate = 0.4;
  int min_samples = 8;
  // Mean time of an endpoint over the median of all that ejects it.
  double slow_factor = 6.0;
  Duration initial_ejection = std::chrono::seconds(2);
  Duration max_ejection = std::chrono::seconds(60);
  // A new or returned endpoint reaches all of its slots in this time.
  Duration slow_start = std::chrono::seconds(8);
};

struct EndpointHealth {
  int consecutive_failures = 0;
  int consecutive_refusals = 0;
  Time down_until;
  double failure_rate = 0;  // Moving mean, 0 to 1.
  double mean_seconds = 0;  // Moving mean of whole answers.
  int samples = 0;
  Duration ejection{};
  Time ejected_until;
  Time warm_since;  // Start of the slow start.
};

using HealthMap = std::map<EndpointId, EndpointHealth>;

bool IsEjected(const EndpointHealth& health, Time now);

// Whether the endpoint refuses connections.
bool IsDown(const EndpointHealth& health, Time now);

// Takes the end of one use into account. May eject the endpoint.
void Observe(HealthMap& all,
             const HealthLimits& limits,
             const EndpointId& endpoint,
             SlotOutcome outcome,
             Duration held,
             Time now);

// Part of its slots that an endpoint may use while it warms up, 0 to 1.
double WarmShare(const EndpointHealth& health,
                 const HealthLimits& limits,
                 Time now);

}  // namespace sassafras

#endif  // DECISIONS_ENDPOINT_HEALTH_H_
