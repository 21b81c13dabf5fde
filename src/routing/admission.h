// Admission control: decides whether a request is accepted, and when a refused
// caller should retry.
//
// Handles services that get more requests than their endpoints can run. A
// request that cannot be answered within its time limit is refused immediately.
#ifndef ROUTING_ADMISSION_H_
#define ROUTING_ADMISSION_H_

#include <string>
#include <unordered_map>

#include "base/ids.h"
#include "base/time.h"
#include "routing/steering_config.h"

namespace sassafras {

// Running mean of the time that endpoints took to answer, for one route or one
// service.
struct MeanServiceTime {
  double mean_seconds = 0;
  double variance = 0;  // In seconds squared.
  size_t samples = 0;
};

struct AdmissionState {
  std::unordered_map<std::string, MeanServiceTime> by_route;
  std::unordered_map<ServiceId, MeanServiceTime> by_service;
};

// Records the time from sending a request to receiving the head of its answer.
void OnServiceTime(AdmissionState& state,
                   const ServiceId& service,
                   const std::string& route,
                   Duration time);

// Time that an endpoint is expected to take for a request of `route`: the mean
// of the recorded times or, without any, the route's target latency.
Duration ExpectedServiceTime(const AdmissionState& state,
                             const RequestRoute& route);

// Time within which nearly all requests of `route` are answered: the mean of
// the recorded times plus a multiple of their standard deviation. The route's
// timeout if too few are recorded.
Duration LongestServiceTime(const AdmissionState& state,
                            const RequestRoute& route);

struct AdmissionRequest {
  const ServiceId* service = nullptr;
  const std::string* route = nullptr;
  double load = 0;       // Estimated requests on the chosen endpoint.
  int slots = 1;         // Slots of that endpoint.
  Duration time_left{};  // Until the request's deadline.
};

struct AdmissionDecision {
  bool admitted = true;
  Duration expected_wait{};  // In the endpoint's queue.
  Duration retry_after{};    // Valid if not admitted.
};

// Refuses a request that would have to wait in the endpoint's queue and is not
// expected to be answered within `time_left`. A request that finds a free slot
// is always admitted.
AdmissionDecision Admit(const AdmissionState& state,
                        const AdmissionRequest& request);

// Time after which a caller should retry a request to `service` that no
// endpoint could take: 0.1 s to 2 s, plus up to half of that as jitter.
// `random` in [0, 1) scales the jitter.
Duration RetryAfter(const AdmissionState& state,
                    const ServiceId& service,
                    double random);

}  // namespace sassafras

#endif  // ROUTING_ADMISSION_H_
