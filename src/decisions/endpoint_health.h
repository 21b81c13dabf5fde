// Outlier detection for the endpoints of one service and zone. Uses only the
// observed results of requests, never what endpoints report about themselves.
#ifndef DECISIONS_ENDPOINT_HEALTH_H_
#define DECISIONS_ENDPOINT_HEALTH_H_

#include <map>
#include <vector>

#include "base/ids.h"
#include "base/time.h"
#include "decisions/messages.h"

namespace sassafras {

struct HealthLimits {
  // Maximum fraction of the endpoints that may be ejected at a time.
  double max_ejected_share = 0.34;
  // Number of consecutive failures that ejects an endpoint.
  int consecutive_failures = 3;
  // Number of consecutive failed connections after which an endpoint counts as
  // down for `down_pause`. Down endpoints do not count as ejected, so
  // `max_ejected_share` does not limit them: keeping an endpoint that refuses
  // connections in use adds no capacity.
  int consecutive_refusals = 2;
  Duration down_pause = std::chrono::milliseconds(500);
  // Mean failure rate above which an endpoint is ejected, if it is also more
  // than twice the median of all endpoints.
  double failure_rate = 0.4;
  int min_samples = 8;
  // Ratio of an endpoint's mean time to the median of all endpoints above
  // which it is ejected.
  double slow_factor = 6.0;
  Duration initial_ejection = std::chrono::seconds(2);
  Duration max_ejection = std::chrono::seconds(60);
  // Time in which a new or returned endpoint ramps up to all of its slots.
  Duration slow_start = std::chrono::seconds(8);
};

struct EndpointHealth {
  int consecutive_failures = 0;
  int consecutive_refusals = 0;
  Time down_until;
  double failure_rate = 0;  // Moving mean, 0 to 1.
  // Moving mean of complete answers and timeouts.
  double mean_seconds = 0;
  int samples = 0;
  Duration ejection{};
  Time ejected_until;
  Time warm_since;  // Start of the slow start; Time() for none.
};

using HealthMap = std::map<EndpointId, EndpointHealth>;

bool IsEjected(const EndpointHealth& health, Time now);

// Whether the endpoint is left out because it refused connections.
bool IsDown(const EndpointHealth& health, Time now);

// Records the outcome of one use of the endpoint, `held` after its dispatch.
// May eject the endpoint.
void Observe(HealthMap& all,
             const HealthLimits& limits,
             const EndpointId& endpoint,
             SlotOutcome outcome,
             Duration held,
             Time now);

// Fraction of its slots that an endpoint may use during slow start, 0 to 1.
double WarmShare(const EndpointHealth& health,
                 const HealthLimits& limits,
                 Time now);

}  // namespace sassafras

#endif  // DECISIONS_ENDPOINT_HEALTH_H_
