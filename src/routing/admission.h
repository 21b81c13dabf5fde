// Whether a request is let in, and when a refused caller should come back.
//
// Answers to: services that are asked for more than their endpoints can do. A
// request that cannot be answered in its time is refused at once.
#ifndef ROUTING_ADMISSION_H_
#define ROUTING_ADMISSION_H_

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "routing/steering_config.h"

namespace sassafras {

// Times that endpoints of a service took lately, for one route.
struct MeanServiceTime {
  double mean_seconds = 0;
  size_t samples = 0;
};

struct AdmissionState {
  std::unordered_map<std::string, MeanServiceTime> by_route;
  std::unordered_map<ServiceId, MeanServiceTime> by_service;
};

// Records the time from sending a request to its answer's head.
void OnServiceTime(AdmissionState& state,
                   const ServiceId& service,
                   const std::string& route,
                   Duration time);

// Time that an endpoint is expected to take for a request of the route: the
// mean of those seen, else the route's target.
Duration ExpectedServiceTime(const AdmissionState& state,
                             const RequestRoute& route);

struct AdmissionRequest {
  const ServiceId* service = nullptr;
  const std::string* route = nullptr;
  double load = 0;  // Requests on the endpoint that was chosen.
  int slots = 1;
  Duration time_left{};
};

struct AdmissionDecision {
  bool admitted = true;
  Duration expected_wait{};
  Duration retry_after{};  // Valid if not admitted.
};

AdmissionDecision Admit(const AdmissionState& state,
                        const AdmissionRequest& request);

// Whether a request of `route` that arrives now is likely to be answered
// before a host that stops ends, `time_left` from now.
bool CanFinishBeforeExit(const AdmissionState& state,
                         const RequestRoute& route,
                         Duration time_left);

// When a caller of `service` should come back that found no endpoint or only
// full ones. `random` spreads the callers.
Duration RetryAfter(const AdmissionState& state,
                    const ServiceId& service,
                    double random);

}  // namespace sassafras

#endif  // ROUTING_ADMISSION_H_
